package io.bilberrylane.cli;

import java.util.concurrent.CountDownLatch;

/** Runs until the process is told to end, then ends it with status 0. */
final class Daemon {
    private Daemon() {}

    /** Waits for SIGTERM or SIGINT, runs an action, and ends the process. */
    static int runUntilStopped(final Runnable onStop) {
        final CountDownLatch neverCountedDown = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    onStop.run();
                                    Runtime.getRuntime().halt(0);
                                },
                                "stop"));
        try {
            neverCountedDown.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
