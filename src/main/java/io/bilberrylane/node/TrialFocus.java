package io.bilberrylane.node;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Sends the calls on trial to one target at a time, so that it runs several of them at once. */
final class TrialFocus {
    private static final long ROUND_MILLIS = 2_000;

    private TrialFocus() {}

    /** Returns the target of this round, which is the same at all nodes that see the same ones. */
    static List<TargetRef> choose(final List<TargetRef> targets, final long ageMillis) {
        final long round = ageMillis / ROUND_MILLIS;
        final Optional<TargetRef> first =
                targets.stream().min(Comparator.comparingLong(target -> weight(target, round)));
        return first.map(List::of).orElse(List.of());
    }

    private static long weight(final TargetRef target, final long round) {
        return Hashing.murmur3_128()
                .hashString(round + "/" + target.candidate().host(), StandardCharsets.UTF_8)
                .asLong();
    }
}
