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

/** Measures how costs grow with the fleet; the capacity page is calculated from the results. */
public final class ScalingMeasurement {
    private static final int[] MEMBER_COUNTS = {10, 100, 1_000};
    private static final int[] SERVICE_COUNTS = {10, 100, 410};
    private static final int[] TARGET_COUNTS = {7, 70, 700};
    private static final int ITERATIONS = 50_000;
    private static final double IDLE_SECONDS = 20;
    private static final long SEED = 1;

    private static final long FAR_FUTURE_NANOS = Long.MAX_VALUE / 2;

    private final List<MeasuredPoint> mPoints = new ArrayList<>();

    private ScalingMeasurement() {}

    /**
     * Measures all points. Takes two to three minutes.
     *
     * @return the points in the order of measurement
     */
    public static List<MeasuredPoint> measure() {
        final ScalingMeasurement measurement = new ScalingMeasurement();
        measurement.measureGossip();
        measurement.measureMemberMemory();
        measurement.measureSyncReply();
        measurement.measureGate();
        measurement.measureTargetSelection();
        measurement.measureCodec();
        measurement.measureCatalogue();
        return List.copyOf(measurement.mPoints);
    }

    // -- membership

    private void measureGossip() {
        for (final int memberCount : MEMBER_COUNTS) {
            final GossipNetwork network = new GossipNetwork(memberCount, SEED);
            network.run(5);
            final long idleBytes = network.bytesSentDuring(IDLE_SECONDS);
            addPoint(
                    "membership at rest, per node",
                    memberCount,
                    idleBytes / IDLE_SECONDS / memberCount,
                    "B/s");
            final long changeBytes = network.bytesOfOneChange(IDLE_SECONDS);
            addPoint("one changed record, whole fleet", memberCount, changeBytes, "B");
            addPoint("version known everywhere", memberCount, network.secondsToSpread(1), "s");
        }
    }

    private void measureMemberMemory() {
        for (final int memberCount : MEMBER_COUNTS) {
            final long bytesBefore = usedBytes();
            final MemberTable table =
                    MemberTable.of(SwimSettings.DEFAULT, GossipNetwork.member(0), 0);
            for (int i = 1; i < memberCount; i++) {
                table.merge(List.of(GossipNetwork.member(i)), 0);
            }
            final long tableBytes = usedBytes() - bytesBefore;
            addPoint(
                    "memory per known member",
                    table.members().size(),
                    (double) tableBytes / memberCount,
                    "B");
        }
    }

    private void measureSyncReply() {
        for (final int memberCount : MEMBER_COUNTS) {
            final List<io.bilberrylane.membership.Member> members = new ArrayList<>();
            for (int i = 0; i < memberCount; i++) {
                members.add(GossipNetwork.member(i));
            }
            final int bytes = PeerCodec.encode(new PeerMessage.SyncReply(1, members)).length;
            addPoint("comparison of views, one way", memberCount, bytes, "B");
        }
    }

    // -- calls

    private void measureGate() {
        final GateAdmission admission = GateAdmission.of(6, 6, 0);
        final CallTable calls = CallTable.of(1_000_000);
        final double micros =
                meanMicros(
                        i -> {
                            final String id = "host-1-m8r2x1-" + i;
                            calls.reserve(id, i);
                            admission.offer(
                                    new AdmissionRequest(
                                            id,
                                            0,
                                            0,
                                            FAR_FUTURE_NANOS,
                                            FAR_FUTURE_NANOS,
                                            FAR_FUTURE_NANOS,
                                            WaitMode.AWAIT_SLOT),
                                    i);
                            calls.start(id, i);
                            calls.finish(id, i);
                            admission.release(id, true, 3_000_000, i);
                        });
        addPoint("gate decisions per call", 1, micros, "us");
    }

    private void measureTargetSelection() {
        for (final int targetCount : TARGET_COUNTS) {
            final LoadTable loads = LoadTable.empty();
            final List<Candidate> candidates = new ArrayList<>();
            for (int i = 0; i < targetCount; i++) {
                candidates.add(new Candidate("host-" + i, "dc-" + i % 26, 6));
                loads.recordLoad("host-" + i, 0, TargetLoad.of(i % 6, 0, 6, 3_000, true), 0);
            }
            final TargetSelector selector = TargetSelector.of("dc-0", loads, new Random(SEED));
            addPoint(
                    "choice of a target",
                    targetCount,
                    meanMicros(
                            i -> selector.choose(candidates, Set.of(), SelectionCriteria.NONE, i)),
                    "us");
        }
    }

    private void measureCodec() {
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
                        true,
                        "",
                        false);
        final PeerMessage openMessage = new PeerMessage.Open(1, head);
        addPoint(
                "open message, encoded and decoded",
                8,
                meanMicros(i -> PeerCodec.decode(PeerCodec.encode(openMessage))),
                "us");
    }

    // -- configuration

    private void measureCatalogue() {
        for (final int serviceCount : SERVICE_COUNTS) {
            final StringBuilder text = new StringBuilder("schema: 1\nservices:\n");
            for (int i = 0; i < serviceCount; i++) {
                text.append("- {service: s")
                        .append(i)
                        .append(", owner: team, class: standard,")
                        .append(" limits: {timeoutMillis: 5000, queueMillis: 250}}\n");
            }
            final String document = text.toString();
            final int iterations = 20;
            for (int i = 0; i < iterations; i++) {
                CatalogueReader.read("warm", document);
            }
            final long startNanos = System.nanoTime();
            for (int i = 0; i < iterations; i++) {
                CatalogueReader.read("timed", document);
            }
            addPoint(
                    "catalogue read",
                    serviceCount,
                    (System.nanoTime() - startNanos) / 1e6 / iterations,
                    "ms");
            addPoint("catalogue length", serviceCount, document.length(), "B");
        }
    }

    // -- measurement

    private static double meanMicros(final IntConsumer action) {
        for (int i = 0; i < ITERATIONS; i++) {
            action.accept(i);
        }
        final long startNanos = System.nanoTime();
        for (int i = ITERATIONS; i < 2 * ITERATIONS; i++) {
            action.accept(i);
        }
        return (System.nanoTime() - startNanos) / 1_000.0 / ITERATIONS;
    }

    private static long usedBytes() {
        final Runtime runtime = Runtime.getRuntime();
        long leastUsed = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            System.gc();
            leastUsed = Math.min(leastUsed, runtime.totalMemory() - runtime.freeMemory());
        }
        return leastUsed;
    }

    private void addPoint(
            final String metric, final long size, final double value, final String unit) {
        mPoints.add(new MeasuredPoint(metric, size, value, unit));
    }
}
