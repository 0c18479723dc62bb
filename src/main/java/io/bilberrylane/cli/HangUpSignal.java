package io.bilberrylane.cli;

import sun.misc.Signal;

/**
 * Handles SIGHUP from the start of the program. Without a handler the signal would end the process;
 * one that arrives before the settings can be reloaded takes effect later.
 */
final class HangUpSignal {
    private static final Object LOCK = new Object();
    private static Runnable sAction;
    private static boolean sPending;

    private HangUpSignal() {}

    /** Keeps the signal from ending the process. */
    static void capture() {
        Signal.handle(new Signal("HUP"), signal -> onSignal());
    }

    /**
     * Sets what the signal does, and does it at once if the signal has come before.
     *
     * @param action the action; must not block
     */
    static void setAction(final Runnable action) {
        final boolean wasPending;
        synchronized (LOCK) {
            sAction = action;
            wasPending = sPending;
            sPending = false;
        }
        if (wasPending) {
            action.run();
        }
    }

    private static void onSignal() {
        final Runnable action;
        synchronized (LOCK) {
            action = sAction;
            sPending = action == null;
        }
        if (action != null) {
            action.run();
        }
    }
}
