package io.bilberrylane.capacity;

import io.bilberrylane.catalogue.CatalogueReader;
import io.bilberrylane.membership.MemberTable;
import io.bilberrylane.membership.SwimSettings;
import io.bilberrylane.outcome.CallTable;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.peer.PeerCodec;
import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.policy.AdmissionRequest;
import io.bilberrylane.policy.Candidate;
import io.bilberrylane.policy.GateAdmission;
import io.bilberrylane.policy.LoadTable;
import io.bilberrylane.policy.SelectionCriteria;
import io.bilberrylane.policy.TargetLoad;
import io.bilberrylane.policy.TargetSelector;
import io.bilberrylane.policy.WaitMode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;

/** Measures every slope that the capacity page is worked out from. */
public final class SlopeMeasurement {
    private static final int[] MEMBERS = {10, 100, 1_000};
    private static final int[] SERVICES = {10, 100, 410};
    private static final int[] TARGETS = {7, 70, 700};
    private static final int REPEATS = 50_000;
    private static final double REST_SECONDS = 20;
    private static final long SEED = 1;

    private static final long END = Long.MAX_VALUE / 2;

    private final List<Slope> mSlopes = new ArrayList<>();

    private SlopeMeasurement() {}

    /**
     * Returns all points. Takes two to three minutes.
     *
     * @return points in the order that they were measured
     */
    public static List<Slope> measure() {
        final SlopeMeasurement measurement = new SlopeMeasurement();
        measurement.gossip();
        measurement.memberMemory();
        measurement.syncBytes();
        measurement.gate();
        measurement.choice();
        measurement.codec();
        measurement.catalogue();
        return List.copyOf(measurement.mSlopes);
    }

    // -- membership

    private void gossip() {
        for (final int members : MEMBERS) {
            final GossipNetwork network = new GossipNetwork(members, SEED);
            network.run(5);
            final long rest = network.bytesOver(REST_SECONDS);
            add("membership at rest, per node", members, rest / REST_SECONDS / members, "B/s");
            final long change = network.bytesOfOneChange(REST_SECONDS);
            add("one changed record, whole fleet", members, change, "B");
            add("version known everywhere", members, network.secondsToSpread(1), "s");
        }
    }

    private void memberMemory() {
        for (final int members : MEMBERS) {
            final long before = usedBytes();
            final MemberTable table =
                    MemberTable.of(SwimSettings.DEFAULT, GossipNetwork.member(0), 0);
            for (int i = 1; i < members; i++) {
                table.merge(List.of(GossipNetwork.member(i)), 0);
            }
            final long used = usedBytes() - before;
            add("memory per known member", table.members().size(), (double) used / members, "B");
        }
    }

    private void syncBytes() {
        for (final int members : MEMBERS) {
            final List<io.bilberrylane.membership.Member> all = new ArrayList<>();
            for (int i = 0; i < members; i++) {
                all.add(GossipNetwork.member(i));
            }
            final int bytes = PeerCodec.encode(new PeerMessage.SyncReply(1, all)).length;
            add("comparison of views, one way", members, bytes, "B");
        }
    }

    // -- calls

    private void gate() {
        final GateAdmission admission = GateAdmission.of(6, 6, 0);
        final CallTable calls = CallTable.of(1_000_000);
        final double micros =
                microsEach(
                        i -> {
                            final String id = "host-1-m8r2x1-" + i;
                            calls.reserve(id, i);
                            admission.offer(
                                    new AdmissionRequest(
                                            id, 0, 0, END, END, END, WaitMode.AWAIT_SLOT),
                                    i);
                            calls.start(id, i);
                            calls.finish(id, i);
                            admission.release(id, true, 3_000_000, i);
                        });
        add("gate decisions per call", 1, micros, "us");
    }

    private void choice() {
        for (final int targets : TARGETS) {
            final LoadTable loads = LoadTable.empty();
            final List<Candidate> candidates = new ArrayList<>();
            for (int i = 0; i < targets; i++) {
                candidates.add(new Candidate("host-" + i, "dc-" + i % 26, 6));
                loads.recordLoad("host-" + i, 0, TargetLoad.of(i % 6, 0, 6, 3_000, true), 0);
            }
            final TargetSelector selector = TargetSelector.of("dc-0", loads, new Random(SEED));
            add(
                    "choice of a target",
                    targets,
                    microsEach(
                            i -> selector.choose(candidates, Set.of(), SelectionCriteria.NONE, i)),
                    "us");
        }
    }

    private void codec() {
        final List<HeaderField> headers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            headers.add(new HeaderField("header-" + i, "value-of-some-length-" + i));
        }
        final CallHead head =
                new CallHead(
                        "host-1-m8r2x1-1",
                        "calendar",
                        "GET",
                        "/slots",
                        headers,
                        5_000,
                        1,
                        true,
                        "",
                        0,
                        "",
                        0,
                        1_000,
                        1,
                        1_000,
                        true);
        final PeerMessage open = new PeerMessage.Open(1, head);
        add(
                "open message, encoded and decoded",
                8,
                microsEach(i -> PeerCodec.decode(PeerCodec.encode(open))),
                "us");
    }

    // -- configuration

    private void catalogue() {
        for (final int services : SERVICES) {
            final StringBuilder text = new StringBuilder("schema: 1\nservices:\n");
            for (int i = 0; i < services; i++) {
                text.append("- {service: s")
                        .append(i)
                        .append(", owner: team, class: standard,")
                        .append(" limits: {timeoutMillis: 5000, queueMillis: 250}}\n");
            }
            final String document = text.toString();
            final int repeats = 20;
            for (int i = 0; i < repeats; i++) {
                CatalogueReader.read("warm", document);
            }
            final long start = System.nanoTime();
            for (int i = 0; i < repeats; i++) {
                CatalogueReader.read("timed", document);
            }
            add("catalogue read", services, (System.nanoTime() - start) / 1e6 / repeats, "ms");
            add("catalogue length", services, document.length(), "B");
        }
    }

    // -- measuring

    private static double microsEach(final IntConsumer action) {
        for (int i = 0; i < REPEATS; i++) {
            action.accept(i);
        }
        final long start = System.nanoTime();
        for (int i = REPEATS; i < 2 * REPEATS; i++) {
            action.accept(i);
        }
        return (System.nanoTime() - start) / 1_000.0 / REPEATS;
    }

    private static long usedBytes() {
        final Runtime runtime = Runtime.getRuntime();
        long used = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            System.gc();
            used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
        }
        return used;
    }

    private void add(final String matter, final long size, final double figure, final String unit) {
        mSlopes.add(new Slope(matter, size, figure, unit));
    }
}
