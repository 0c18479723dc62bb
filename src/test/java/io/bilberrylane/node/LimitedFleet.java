package io.bilberrylane.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueCheck;
import io.bilberrylane.catalogue.ConfigurationDocument;
import io.bilberrylane.catalogue.ConfigurationFormat;
import io.bilberrylane.catalogue.Organisation;
import io.bilberrylane.catalogue.OwnConfigurationFormat;
import io.bilberrylane.catalogue.RolloutFormat;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.InterfaceProfile;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import io.bilberrylane.standin.TargetSettings;
import io.bilberrylane.standin.TargetStandIn;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Real nodes whose catalogue holds organisations, and calls in the name of one. */
final class LimitedFleet implements AutoCloseable {
    private static final long TIMEOUT_MILLIS = 2_000;

    /**
     * How a call ended.
     *
     * @param code the error, or empty if a target responded
     * @param retryAfterMillis the time of the refusal
     * @param endNanos when it ended
     */
    record End(Optional<ErrorCode> code, long retryAfterMillis, long endNanos) {
        boolean isServed() {
            return code.isEmpty();
        }
    }

    /** The project's own format, with organisations added to each catalogue. */
    private record Format(ConfigurationFormat own, List<Organisation> organisations)
            implements ConfigurationFormat {
        @Override
        public String kind() {
            return own.kind();
        }

        @Override
        public String name() {
            return own.name();
        }

        @Override
        public Optional<String> outageKind() {
            return own.outageKind();
        }

        @Override
        public RolloutFormat rollouts() {
            return own.rollouts();
        }

        @Override
        public ConfigurationDocument document(final long version, final JsonNode spec) {
            return own.document(version, spec);
        }

        @Override
        public CatalogueCheck check(final String place, final String text) {
            final Catalogue catalogue = own.check(place, text).orThrow();
            final Catalogue.Builder builder = Catalogue.builder().routeServiceNames();
            catalogue
                    .services()
                    .forEach(name -> builder.entry(catalogue.service(name).orElseThrow()));
            organisations.forEach(builder::organisation);
            return CatalogueCheck.whole(builder.build(), List.of());
        }
    }

    private static final class Sink implements ResponseSink {
        private final CompletableFuture<End> mEnd = new CompletableFuture<>();
        private final CompletableFuture<Void> mAdmitted = new CompletableFuture<>();

        private void end(final Optional<ErrorCode> code, final long retryAfterMillis) {
            mEnd.complete(new End(code, retryAfterMillis, System.nanoTime()));
        }

        @Override
        public void onAdmitted(final TargetLoad load) {
            mAdmitted.complete(null);
        }

        @Override
        public void onRefused(final Refusal refusal, final TargetLoad load) {
            end(Optional.of(refusal.code()), refusal.retryAfterMillis());
        }

        @Override
        public void onHead(final ResponseHead head) {
            // Any status shows that a target has received the call.
        }

        @Override
        public void onData(final ByteBuf bytes) {
            bytes.release();
        }

        @Override
        public void onEnd(final TargetLoad load) {
            end(Optional.empty(), 0);
        }

        @Override
        public void onFailed(final ErrorCode code, final CallPhase phase) {
            end(Optional.of(code), 0);
        }

        @Override
        public void onCredit(final int bytes) {
            // The request has no body.
        }
    }

    private final Fleet mFleet = new Fleet();
    private final Format mFormat;
    private final Route mRoute;

    LimitedFleet(final int nodes, final List<Organisation> organisations) {
        mFormat = new Format(new OwnConfigurationFormat(), organisations);
        for (int i = 0; i < nodes; i++) {
            addNode("host-" + i);
        }
        mFleet.store().apply(Fleet.CATALOGUE, "tests", -1);
        Fleet.await(
                () ->
                        mFleet.mNodes.stream()
                                .allMatch(
                                        node ->
                                                node.revision() > 0
                                                        && node.targetCount("calendar") == nodes));
        mRoute =
                mFormat.check("test", Fleet.CATALOGUE)
                        .catalogue()
                        .route("calendar", "/")
                        .orElseThrow();
    }

    private void addNode(final String host) {
        final Node node =
                mFleet.startNode(
                        host,
                        "dc-0",
                        Fleet.loopback(),
                        new InterfaceProfile(
                                HeaderNames.OWN,
                                mFormat,
                                TargetEndpoint.PREFIX,
                                TargetEndpoint::new));
        mFleet.mNodes.add(node);
        mFleet.mTargets.add(
                mFleet.mCloser.add(
                        TargetStandIn.start(
                                mFleet.mTransport,
                                TargetSettings.onLoopback(
                                        "calendar", node.targetAddress(), 1_000))));
    }

    Fleet fleet() {
        return mFleet;
    }

    Node node(final int index) {
        return mFleet.mNodes.get(index);
    }

    CompletableFuture<End> call(final int node, final String organisation, final boolean nested) {
        return call(node, "calendar", organisation, nested);
    }

    CompletableFuture<End> call(
            final int node, final String service, final String organisation, final boolean nested) {
        final Sink sink = new Sink();
        final CallHead head = head(service, "GET", 0, organisation, nested);
        final var executor = mFleet.mTransport.group().next();
        executor.execute(() -> node(node).router().route(mRoute, head, executor, sink));
        return sink.mEnd;
    }

    /** Makes a call whose caller sends the body a while after a gate has admitted it. */
    CompletableFuture<End> callWithLateBody(
            final int node, final String organisation, final long delayMillis) {
        final Sink sink = new Sink();
        final CallHead head = head("calendar", "POST", 1, organisation, false);
        final var executor = mFleet.mTransport.group().next();
        executor.execute(
                () -> {
                    final BodySink body = node(node).router().route(mRoute, head, executor, sink);
                    sink.mAdmitted.thenRun(
                            () ->
                                    executor.schedule(
                                            () -> {
                                                body.data(Unpooled.wrappedBuffer(new byte[1]));
                                                body.end();
                                            },
                                            delayMillis,
                                            TimeUnit.MILLISECONDS));
                });
        return sink.mEnd;
    }

    private CallHead head(
            final String service,
            final String method,
            final long bodyBytes,
            final String organisation,
            final boolean nested) {
        return new CallHead(
                "",
                service,
                method,
                "/",
                List.of(),
                TIMEOUT_MILLIS,
                1,
                true,
                "",
                bodyBytes,
                "",
                0,
                TIMEOUT_MILLIS / 2,
                mRoute.id(),
                TIMEOUT_MILLIS,
                true,
                organisation,
                nested);
    }

    @Override
    public void close() {
        mFleet.close();
    }
}
