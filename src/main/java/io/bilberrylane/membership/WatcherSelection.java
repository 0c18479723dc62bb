package io.bilberrylane.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the few nodes that watch the platform for the whole fleet. Nodes that the platform does
 * not answer are replaced, unless it seems to answer none.
 */
public final class WatcherSelection {
    private static final int WATCHER_COUNT = 4;

    /**
     * If the platform does not answer so many nodes, it is assumed to be down for all; further
     * replacements would only add to its load.
     */
    private static final int OUTAGE_NODE_COUNT = 3 * WATCHER_COUNT;

    private WatcherSelection() {}

    /**
     * Returns the watchers: the first hosts, by hash, of different data centres, then further hosts
     * if there are fewer data centres than watchers.
     *
     * @param members all known members
     * @return the names of the hosts, in the order of their selection
     */
    public static Set<String> select(final List<Member> members) {
        final List<Member> ranked =
                members.stream()
                        .filter(member -> member.status() == MemberStatus.ALIVE)
                        .sorted(Comparator.comparingLong(member -> weight(member.host())))
                        .toList();
        final List<Member> readers = ranked.stream().filter(Member::readsPlatform).toList();
        final boolean isOutage =
                readers.isEmpty() || ranked.size() - readers.size() >= OUTAGE_NODE_COUNT;
        return firstOfDataCentres(isOutage ? ranked : readers);
    }

    private static Set<String> firstOfDataCentres(final List<Member> ranked) {
        final Map<String, String> firstOfDataCentre = new LinkedHashMap<>();
        ranked.forEach(member -> firstOfDataCentre.putIfAbsent(member.dataCentre(), member.host()));
        final Set<String> chosen = new LinkedHashSet<>();
        firstOfDataCentre.values().stream().limit(WATCHER_COUNT).forEach(chosen::add);
        for (final Member member : ranked) {
            if (chosen.size() < WATCHER_COUNT) {
                chosen.add(member.host());
            }
        }
        return chosen;
    }

    private static long weight(final String host) {
        return Hashing.murmur3_128().hashString(host, StandardCharsets.UTF_8).asLong();
    }
}
