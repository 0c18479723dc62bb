package io.bilberrylane.node;

import java.util.ArrayList;
import java.util.List;

/** Actions that are decided under a lock and run after it has been released. Not thread-safe. */
final class DeferredActions {
    private final List<Runnable> mActions = new ArrayList<>();

    void add(final Runnable action) {
        mActions.add(action);
    }

    /** Runs all actions, so that an error in one call leaves no other call without its answer. */
    void runAll() {
        RuntimeException first = null;
        for (final Runnable action : mActions) {
            try {
                action.run();
            } catch (RuntimeException e) {
                if (first == null) {
                    first = e;
                } else {
                    first.addSuppressed(e);
                }
            }
        }
        if (first != null) {
            throw first;
        }
    }
}
