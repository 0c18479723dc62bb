package io.bilberrylane.node;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.membership.Member;
import io.bilberrylane.membership.MemberStatus;
import io.bilberrylane.membership.TargetRecord;
import io.bilberrylane.policy.RolloutRow;
import io.bilberrylane.policy.RolloutView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The members of the fleet at one moment, as far as roll-outs depend on them.
 *
 * @param members all known members
 * @param catalogue the active catalogue, which names what is out of service
 */
record RolloutFleet(List<Member> members, Catalogue catalogue) {
    RolloutFleet {
        members = List.copyOf(members);
    }

    static RolloutFleet of(final List<Member> members, final ConfigurationService configuration) {
        return new RolloutFleet(members, configuration.catalogue());
    }

    /** Returns whether a present member has a target of the new version. */
    boolean hasVersion(final RolloutEntry entry) {
        return members.stream()
                .filter(Member::isPresent)
                .flatMap(member -> member.target().stream())
                .anyMatch(
                        target ->
                                target.service().equals(entry.service())
                                        && target.version().equals(entry.version()));
    }

    /**
     * Records the targets of other versions, so that their calls are waited for when they are
     * withdrawn or replaced; to be called with the lock of the roll-outs held.
     */
    void recordTargets(final RolloutEntry entry) {
        for (final Member member : members) {
            final TargetRecord target = presentTarget(member, entry);
            if (target != null && !target.version().equals(entry.version())) {
                entry.rollout().ledger().merge(row(member, target));
            }
        }
    }

    /** Returns the view of one roll-out; to be called with the lock of the roll-outs held. */
    RolloutView view(final RolloutEntry entry) {
        int newSlots = 0;
        int oldSlots = 0;
        final Set<String> oldRows = replacedRows(entry);
        for (final Member member : members) {
            final TargetRecord target = presentTarget(member, entry);
            if (target == null) {
                continue;
            }
            final boolean isNew = target.version().equals(entry.version());
            final boolean isUsable =
                    target.accepting() && catalogue.isInService(member.host(), member.dataCentre());
            newSlots += isNew && isUsable ? target.slots() : 0;
            oldSlots += !isNew && isUsable ? target.slots() : 0;
            if (!isNew) {
                oldRows.add(row(member, target).key());
            }
        }
        final int present = (int) members.stream().filter(Member::isPresent).count();
        final int left =
                (int) members.stream().filter(each -> each.status() == MemberStatus.LEFT).count();
        return new RolloutView(
                newSlots,
                oldSlots,
                oldRows,
                entry.presentShare(present, left),
                present <= 1 && entry.isKnown()
                        || entry.isCurrent(System.nanoTime(), System.currentTimeMillis()));
    }

    /** Returns the rows of targets at present nodes, also of targets that are gone meanwhile. */
    private Set<String> replacedRows(final RolloutEntry entry) {
        final Map<String, Long> present = new HashMap<>();
        for (final Member member : members) {
            if (member.isPresent()) {
                present.put(member.host(), member.incarnation());
            }
        }
        final Set<String> keys = new HashSet<>();
        for (final RolloutRow row : entry.rollout().ledger().rowsOfOthers(entry.version())) {
            if (Objects.equals(present.get(row.host()), row.nodeIncarnation())) {
                keys.add(row.key());
            }
        }
        return keys;
    }

    /** Returns the target that a present member has for the service, or null. */
    private static TargetRecord presentTarget(final Member member, final RolloutEntry entry) {
        return member.target()
                .filter(target -> member.isPresent() && target.service().equals(entry.service()))
                .orElse(null);
    }

    private static RolloutRow row(final Member member, final TargetRecord target) {
        return RolloutRow.empty(
                target.service(),
                member.host(),
                member.incarnation(),
                target.incarnation(),
                target.version());
    }
}
