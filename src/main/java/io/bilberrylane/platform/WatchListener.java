package io.bilberrylane.platform;

/** Takes the events of a watch. */
public interface WatchListener {
    /**
     * An object was created or changed.
     *
     * @param object its new state
     */
    void onChanged(StoredObject object);

    /**
     * An object was deleted.
     *
     * @param object its last state
     */
    void onDeleted(StoredObject object);

    /**
     * The watch ended. Last event.
     *
     * @param cause why; a code of PLATFORM_GONE asks for a new list
     */
    void onEnded(RuntimeException cause);
}
