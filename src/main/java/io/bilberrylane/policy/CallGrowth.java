package io.bilberrylane.policy;

/**
 * The calls of one route that have ended since the evidence was last read.
 *
 * @param oldEnded the calls of the old version
 * @param oldFailed those of them that failed
 * @param oldSlow those of them that were slow
 * @param newEnded the calls of the new version
 * @param newFailed those of them that failed
 * @param newSlow those of them that were slow
 */
record CallGrowth(
        double oldEnded,
        double oldFailed,
        double oldSlow,
        double newEnded,
        double newFailed,
        double newSlow) {}
