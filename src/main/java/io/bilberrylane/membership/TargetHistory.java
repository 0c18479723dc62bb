package io.bilberrylane.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Remembers the announcements and departures of the targets on one host, so that a late
 * announcement never registers a process that has left or was replaced. Not thread-safe.
 */
public final class TargetHistory {
    private static final int MAX_DEPARTURES = 64;

    /**
     * An older announcement is late only within this time; after it, the target may have restarted
     * with a clock that was set back.
     */
    private static final long LATE_MILLIS = 10_000;

    private static final long DEPARTURE_RETENTION_MILLIS = 30_000;

    /** The number of departures that are kept beyond the life of the process. */
    private static final int MAX_LASTING_DEPARTURES = 8;

    private record RecordedDeparture(Departure departure, long recordedMillis) {}

    private final Map<String, RecordedDeparture> mDepartures =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(
                        final Map.Entry<String, RecordedDeparture> eldest) {
                    return size() > MAX_DEPARTURES;
                }
            };
    private TargetAnnouncement mLatest;
    private long mLatestMillis;

    private TargetHistory() {}

    /**
     * Returns a history without entries.
     *
     * @return an empty history
     */
    public static TargetHistory empty() {
        return new TargetHistory();
    }

    // -- queries

    /**
     * Returns whether an announcement must not register its target.
     *
     * @param announcement the announcement
     * @param nowMillis the monotonic clock, in milliseconds
     * @return true if it is older than a known one, or if its process has left
     */
    public boolean isObsolete(final TargetAnnouncement announcement, final long nowMillis) {
        final boolean isLate =
                mLatest != null
                        && nowMillis - mLatestMillis <= LATE_MILLIS
                        && announcement.isOlderThan(mLatest);
        return isLate || hasLeft(announcement, nowMillis);
    }

    /**
     * Returns whether the process that made an announcement has left, or drains since.
     *
     * @param announcement the announcement
     * @param nowMillis the monotonic clock, in milliseconds
     * @return true if a departure binds it
     */
    public boolean hasLeft(final TargetAnnouncement announcement, final long nowMillis) {
        final RecordedDeparture recorded = mDepartures.get(announcement.id());
        return recorded != null
                && nowMillis - recorded.recordedMillis() <= DEPARTURE_RETENTION_MILLIS
                && recorded.departure().binds(announcement);
    }

    /**
     * Returns the departures that a later process on this host must know.
     *
     * @return the newest departures, the oldest of them first
     */
    public List<Departure> lastingDepartures() {
        return mDepartures.values().stream()
                .map(RecordedDeparture::departure)
                .skip(Math.max(0, mDepartures.size() - MAX_LASTING_DEPARTURES))
                .toList();
    }

    // -- changes

    /**
     * Records an announcement that registers or renews a target.
     *
     * @param announcement the announcement
     * @param nowMillis the monotonic clock, in milliseconds
     */
    public void recordAnnouncement(final TargetAnnouncement announcement, final long nowMillis) {
        mLatest = Objects.requireNonNull(announcement, "announcement is null");
        mLatestMillis = nowMillis;
        final RecordedDeparture recorded = mDepartures.get(announcement.id());
        final boolean isKnownToDrain =
                recorded != null
                        && recorded.departure().isDraining()
                        && recorded.departure().incarnation() == announcement.incarnation();
        if (announcement.draining() && !isKnownToDrain) {
            record(Departure.draining(announcement), nowMillis);
        } else if (!announcement.draining() && isKnownToDrain) {
            mDepartures.remove(announcement.id());
        }
    }

    /**
     * Records that a target has left permanently.
     *
     * @param id the target's identity
     * @param named the process that leaves; empty if the departure does not name it
     * @param wallClockMillis the time since 1970, in milliseconds; used as the latest possible
     *     start of the process if it is not named and none of its announcements is known
     * @param nowMillis the monotonic clock, in milliseconds
     */
    public void recordDeparture(
            final String id,
            final OptionalLong named,
            final long wallClockMillis,
            final long nowMillis) {
        final boolean isKnown = mLatest != null && mLatest.id().equals(id);
        final long incarnation = named.orElse(isKnown ? mLatest.incarnation() : wallClockMillis);
        final RecordedDeparture known = mDepartures.get(id);
        if (known != null && known.departure().incarnation() > incarnation) {
            return;
        }
        record(Departure.permanent(id, incarnation), nowMillis);
    }

    /**
     * Adds the departures that an earlier process on this host has recorded.
     *
     * @param departures the departures, the oldest first
     * @param nowMillis the monotonic clock, in milliseconds
     */
    public void restore(final List<Departure> departures, final long nowMillis) {
        for (final Departure departure : departures) {
            final RecordedDeparture known = mDepartures.get(departure.id());
            if (known == null || known.departure().incarnation() < departure.incarnation()) {
                record(departure, nowMillis);
            }
        }
    }

    private void record(final Departure departure, final long nowMillis) {
        mDepartures.remove(departure.id());
        mDepartures.put(departure.id(), new RecordedDeparture(departure, nowMillis));
    }
}
