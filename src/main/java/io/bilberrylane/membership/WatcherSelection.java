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
 * not answer are replaced, each by two others, as those may be turned away as well; unless it seems
 * to answer none.
 */
public final class WatcherSelection {
    /** Usually more than a third of a dozen nodes. */
    private static final int WATCHER_COUNT = 6;

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
        final int withoutAccess = ranked.size() - readers.size();
        final boolean isOutage = readers.isEmpty() || withoutAccess >= OUTAGE_NODE_COUNT;
        return isOutage
                ? firstOfDataCentres(ranked, WATCHER_COUNT)
                : firstOfDataCentres(readers, WATCHER_COUNT + withoutAccess);
    }

    private static Set<String> firstOfDataCentres(final List<Member> ranked, final int count) {
        final Map<String, String> firstOfDataCentre = new LinkedHashMap<>();
        ranked.forEach(member -> firstOfDataCentre.putIfAbsent(member.dataCentre(), member.host()));
        final Set<String> chosen = new LinkedHashSet<>();
        firstOfDataCentre.values().stream().limit(count).forEach(chosen::add);
        for (final Member member : ranked) {
            if (chosen.size() < count) {
                chosen.add(member.host());
            }
        }
        return chosen;
    }

    private static long weight(final String host) {
        return Hashing.murmur3_128().hashString(host, StandardCharsets.UTF_8).asLong();
    }
}
