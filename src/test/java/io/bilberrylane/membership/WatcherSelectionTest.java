package io.bilberrylane.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class WatcherSelectionTest {
    private static final int WATCHERS = 4;
    private static final int DATA_CENTRES = 3;

    private static List<Member> members(final int count, final Set<String> withoutAccess) {
        final List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            final String host = "host-" + i;
            members.add(
                    new Member(
                            host,
                            "dc-" + i % DATA_CENTRES,
                            "127.0.0.1:1",
                            1,
                            1,
                            MemberStatus.ALIVE,
                            Optional.empty(),
                            !withoutAccess.contains(host)));
        }
        return members;
    }

    private static Set<String> select(final int count, final Set<String> withoutAccess) {
        return WatcherSelection.select(members(count, withoutAccess));
    }

    private static Set<String> dataCentres(final List<Member> members, final Set<String> hosts) {
        return members.stream()
                .filter(member -> hosts.contains(member.host()))
                .map(Member::dataCentre)
                .collect(Collectors.toSet());
    }

    @Nested
    final class SomeWithoutAccess {
        // Guards against: nodes that the platform turns away stay the only watchers, and nobody
        // else learns of a configuration (CONFIG).
        @Test
        void shouldReplaceWatchersAndTheirReplacements() {
            final Set<String> withoutAccess = new HashSet<>();
            for (int round = 0; round < 3; round++) {
                final Set<String> watchers = select(60, withoutAccess);
                assertThat(watchers).hasSize(WATCHERS);
                assertThat(Collections.disjoint(watchers, withoutAccess)).isTrue();
                withoutAccess.addAll(watchers);
            }
        }

        @Test
        void shouldKeepTheOtherWatchersWhenOneIsReplaced() {
            final Set<String> before = select(30, Set.of());
            final String replaced = before.iterator().next();
            final Set<String> kept = new HashSet<>(before);
            kept.remove(replaced);
            assertThat(select(30, Set.of(replaced))).containsAll(kept).doesNotContain(replaced);
        }
    }

    @Nested
    final class AllWithAccess {
        @Test
        void shouldSelectAFewNodesOfAllDataCentres() {
            final List<Member> members = members(30, Set.of());
            final Set<String> watchers = WatcherSelection.select(members);
            assertThat(watchers).hasSize(WATCHERS);
            assertThat(dataCentres(members, watchers)).hasSize(DATA_CENTRES);
        }
    }

    @Nested
    final class Outage {
        // Guards against: an outage of the platform makes each node of the fleet a watcher in
        // turn, which the platform has to bear when it returns.
        @Test
        void shouldReplaceNoFurtherNodesWhenTooManyHaveNoAccess() {
            final Set<String> first = select(60, Set.of());
            final Set<String> withoutAccess = new HashSet<>();
            for (int round = 0; round < 3; round++) {
                withoutAccess.addAll(select(60, withoutAccess));
            }
            assertThat(select(60, withoutAccess)).isEqualTo(first);
        }

        @Test
        void shouldSelectWatchersWhenNoNodeHasAccess() {
            assertThat(select(2, Set.of("host-0", "host-1"))).hasSize(2);
        }
    }
}
