package io.bilberrylane.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the owners of an organisation's limit among the present nodes by rendezvous hashing: the
 * death of a node moves only its own parts. Immutable.
 */
public final class QuotaOwners {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private record Node(String host, long hash) {}

    private record Ranked(String host, long rank) {}

    private final List<Node> mNodes;

    private QuotaOwners(final List<Node> nodes) {
        mNodes = nodes;
    }

    /**
     * Returns a selection among nodes.
     *
     * @param hosts the hosts of the present nodes
     * @return the selection
     */
    public static QuotaOwners among(final List<String> hosts) {
        return new QuotaOwners(hosts.stream().map(host -> new Node(host, hash(host))).toList());
    }

    /**
     * Returns the owners of an organisation's limit.
     *
     * @param organisation the name of the organisation
     * @param count the number of owners
     * @return the hosts, at most {@code count}
     */
    public List<String> of(final String organisation, final int count) {
        final long organisationHash = hash(organisation);
        final List<Ranked> best = new ArrayList<>(count + 1);
        for (final Node node : mNodes) {
            final long rank = mix(node.hash() ^ organisationHash);
            if (best.size() < count || rank > best.get(best.size() - 1).rank()) {
                best.add(new Ranked(node.host(), rank));
                best.sort(Comparator.comparingLong(Ranked::rank).reversed());
                if (best.size() > count) {
                    best.remove(best.size() - 1);
                }
            }
        }
        return best.stream().map(Ranked::host).toList();
    }

    /**
     * Returns a number by which each node orders the owners differently, so that their first
     * requests spread evenly.
     *
     * @param requester the host that requests an allowance
     * @param owner the host of an owner
     * @return the number
     */
    public static long preference(final String requester, final String owner) {
        return mix(hash(requester) * GOLDEN_GAMMA ^ hash(owner));
    }

    private static long hash(final String text) {
        long hash = GOLDEN_GAMMA;
        for (int i = 0; i < text.length(); i++) {
            hash = mix(hash + text.charAt(i) + 1);
        }
        return hash;
    }

    /** The finalizer of SplitMix64. */
    private static long mix(final long value) {
        long z = value + GOLDEN_GAMMA;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
