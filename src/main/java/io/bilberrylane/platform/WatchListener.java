package io.bilberrylane.platform;

/** Receives the events of a watch. */
public interface WatchListener {
    /**
     * Called when changes occurred, and with no changes when the wait of a request ended.
     *
     * @param events all changes since the previous call, and the store version after them
     */
    void onEvents(ObjectEvents events);

    /**
     * Called once when the watch fails; no other event follows.
     *
     * @param cause the failure, with code PLATFORM_GONE if the version is too old
     */
    void onEnded(RuntimeException cause);
}
