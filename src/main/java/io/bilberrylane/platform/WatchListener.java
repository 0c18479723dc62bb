package io.bilberrylane.platform;

/** Takes what a watch tells. */
public interface WatchListener {
    /**
     * Changes came, or none until the end of a wait.
     *
     * @param events all changes since the last call, and the version that they lead to
     */
    void onEvents(ObjectEvents events);

    /**
     * The watch ended. Last event.
     *
     * @param cause why, with code PLATFORM_GONE when the version is too old
     */
    void onEnded(RuntimeException cause);
}
