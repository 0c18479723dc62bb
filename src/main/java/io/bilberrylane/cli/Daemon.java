package io.bilberrylane.cli;

import io.bilberrylane.base.LoggingConfigurator;
import java.util.concurrent.CountDownLatch;

/** Keeps the process running until it receives a signal to stop, then exits with status 0. */
final class Daemon {
    private Daemon() {}

    /** Blocks until SIGTERM or SIGINT, runs an action, and ends the process with status 0. */
    static int runUntilStopped(final Runnable onStop) {
        final CountDownLatch neverCountedDown = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    onStop.run();
                                    LoggingConfigurator.stop();
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
