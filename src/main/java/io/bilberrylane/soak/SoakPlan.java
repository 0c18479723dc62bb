package io.bilberrylane.soak;

import io.bilberrylane.soak.SoakStep.Action;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * A seeded plan of overlapping faults, restarts and configuration changes. Each fault ends within
 * the plan, and at most a third of the nodes is down or paused at a time.
 */
public final class SoakPlan {
    private static final String NO_TARGET_FAULT = "{\"slowFactor\":1}";
    private static final List<String> TARGET_FAULTS =
            List.of(
                    "{\"slowFactor\":20}",
                    "{\"slowFactor\":1,\"failFast\":true}",
                    "{\"slowFactor\":1,\"crossed\":true}",
                    "{\"slowFactor\":1,\"goSilent\":true}",
                    "{\"slowFactor\":1,\"draining\":true}");
    private static final List<String> PLATFORM_FAULTS =
            List.of(
                    "{\"down\":true}",
                    "{\"slowMillis\":300}",
                    "{\"losePercent\":40}",
                    "{\"cutWatches\":true}");
    private static final ProxyFault[] LINK_FAULTS = {
        ProxyFault.DELAY, ProxyFault.RESET, ProxyFault.SILENT, ProxyFault.ONE_WAY
    };
    private static final int MIN_GAP_MILLIS = 300;
    private static final int GAP_JITTER_MILLIS = 1_800;
    private static final int MIN_FAULT_MILLIS = 800;
    private static final int FAULT_JITTER_MILLIS = 4_000;

    /** The longest time that a node takes to leave; it is started again after this time. */
    private static final long MAX_LEAVE_MILLIS = 8_000;

    private final Random mRandom;
    private final int mHostCount;
    private final long mEndMillis;
    private final List<SoakStep> mSteps = new ArrayList<>();
    private final long[] mNodeFaultEndMillis;
    private long mPlatformFaultEndMillis;
    private long mOutOfServiceEndMillis;

    private SoakPlan(final long seed, final int hostCount, final long endMillis) {
        mRandom = new Random(seed);
        mHostCount = hostCount;
        mEndMillis = endMillis;
        mNodeFaultEndMillis = new long[hostCount + 1];
    }

    /**
     * Generates the steps of a plan, ordered by time.
     *
     * @param seed the seed of the random choices
     * @param hostCount the number of hosts, at least 3
     * @param seconds the length of the plan, in seconds
     * @return the steps; the same arguments give the same steps
     * @throws IllegalArgumentException if hostCount is below 3
     */
    public static List<SoakStep> of(final long seed, final int hostCount, final int seconds) {
        if (hostCount < 3) {
            throw new IllegalArgumentException("hostCount is below 3");
        }
        return new SoakPlan(seed, hostCount, seconds * 1_000L).generateSteps();
    }

    private List<SoakStep> generateSteps() {
        long startMillis = MIN_GAP_MILLIS;
        while (startMillis < mEndMillis - MIN_FAULT_MILLIS) {
            addRandomAction(startMillis);
            startMillis += MIN_GAP_MILLIS + mRandom.nextInt(GAP_JITTER_MILLIS);
        }
        mSteps.sort(Comparator.comparingLong(SoakStep::atMillis));
        return List.copyOf(mSteps);
    }

    private void addRandomAction(final long startMillis) {
        final long drawnEndMillis =
                startMillis + MIN_FAULT_MILLIS + mRandom.nextInt(FAULT_JITTER_MILLIS);
        final long endMillis = Math.min(drawnEndMillis, mEndMillis);
        final int host = 1 + mRandom.nextInt(mHostCount);
        switch (mRandom.nextInt(9)) {
            case 0 -> addKill(startMillis, endMillis, host);
            case 1 -> addPause(startMillis, endMillis, host);
            case 2 -> addLeave(startMillis, host);
            case 3 ->
                    addTimedFault(
                            startMillis,
                            endMillis,
                            Action.TARGET_FAULT,
                            host,
                            pickOne(TARGET_FAULTS),
                            NO_TARGET_FAULT);
            case 4 -> addPlatformFault(startMillis, endMillis);
            case 5 -> addLinkFault(startMillis, endMillis, Action.TARGET_LINK, host);
            case 6 -> addLinkFault(startMillis, endMillis, Action.PLATFORM_LINK, host);
            case 7 ->
                    addStep(
                            startMillis,
                            Action.CHANGE,
                            0,
                            Integer.toString(mRandom.nextInt(1_000)));
            default -> addTakeOut(startMillis, endMillis, host);
        }
    }

    // -- faults

    private void addKill(final long startMillis, final long endMillis, final int host) {
        if (reserveNode(startMillis, endMillis, host)) {
            addStep(startMillis, Action.NODE_KILL, host, "-");
            addStep(endMillis, Action.NODE_START, host, "-");
        }
    }

    private void addPause(final long startMillis, final long endMillis, final int host) {
        if (reserveNode(startMillis, endMillis, host)) {
            addStep(startMillis, Action.NODE_PAUSE, host, "-");
            addStep(endMillis, Action.NODE_RESUME, host, "-");
        }
    }

    private void addLeave(final long startMillis, final int host) {
        if (startMillis + MAX_LEAVE_MILLIS <= mEndMillis
                && reserveNode(startMillis, startMillis + MAX_LEAVE_MILLIS, host)) {
            addStep(startMillis, Action.NODE_LEAVE, host, "-");
            addStep(startMillis + MAX_LEAVE_MILLIS, Action.NODE_START, host, "-");
        }
    }

    private boolean reserveNode(final long startMillis, final long endMillis, final int host) {
        int unavailableNodes = 0;
        for (int other = 1; other <= mHostCount; other++) {
            unavailableNodes += mNodeFaultEndMillis[other] > startMillis ? 1 : 0;
        }
        if (mNodeFaultEndMillis[host] > startMillis
                || unavailableNodes >= Math.max(1, mHostCount / 3)) {
            return false;
        }
        mNodeFaultEndMillis[host] = endMillis;
        return true;
    }

    private void addPlatformFault(final long startMillis, final long endMillis) {
        if (mPlatformFaultEndMillis <= startMillis) {
            mPlatformFaultEndMillis = endMillis;
            addTimedFault(
                    startMillis,
                    endMillis,
                    Action.PLATFORM_FAULT,
                    0,
                    pickOne(PLATFORM_FAULTS),
                    "{}");
        }
    }

    private void addLinkFault(
            final long startMillis, final long endMillis, final Action action, final int host) {
        final ProxyFault fault = LINK_FAULTS[mRandom.nextInt(LINK_FAULTS.length)];
        addTimedFault(
                startMillis, endMillis, action, host, fault.wireName(), ProxyFault.NONE.wireName());
    }

    private void addTakeOut(final long startMillis, final long endMillis, final int host) {
        if (mOutOfServiceEndMillis <= startMillis) {
            mOutOfServiceEndMillis = endMillis;
            addStep(startMillis, Action.TAKE_OUT, host, "-");
            addStep(endMillis, Action.TAKE_BACK, 0, "-");
        }
    }

    private void addTimedFault(
            final long startMillis,
            final long endMillis,
            final Action action,
            final int host,
            final String fault,
            final String noFault) {
        addStep(startMillis, action, host, fault);
        addStep(endMillis, action, host, noFault);
    }

    private void addStep(
            final long atMillis, final Action action, final int host, final String value) {
        mSteps.add(new SoakStep(atMillis, action, host, value));
    }

    private String pickOne(final List<String> values) {
        return values.get(mRandom.nextInt(values.size()));
    }
}
