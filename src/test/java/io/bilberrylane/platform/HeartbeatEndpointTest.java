package io.bilberrylane.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.http.LocalResponse;
import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.membership.TargetRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HeartbeatEndpointTest {
    private static final String PATH = "/-/Instances.Heartbeat/i-1";
    private static final String VALID_HEARTBEAT =
            "{'address':'10.0.0.1:80','born':17,'info':{'service':'s','version':'v1',"
                    + "'zone':'z','slots':6},'status':{'state':'ready','seqNo':4,"
                    + "'coldRemainingS':1.5}}";

    private final List<TargetAnnouncement> mAnnounced = new ArrayList<>();
    private final List<String> mLeavingIds = new ArrayList<>();
    private OptionalLong mLeavingIncarnation = OptionalLong.empty();
    private final HeartbeatEndpoint mEndpoint =
            new HeartbeatEndpoint(
                    new TargetRegistry() {
                        @Override
                        public CompletionStage<Void> announce(
                                final TargetAnnouncement announcement) {
                            mAnnounced.add(announcement);
                            return CompletableFuture.completedFuture(null);
                        }

                        @Override
                        public CompletionStage<Void> markLeaving(
                                final String id, final OptionalLong incarnation) {
                            mLeavingIds.add(id);
                            mLeavingIncarnation = incarnation;
                            return CompletableFuture.completedFuture(null);
                        }

                        @Override
                        public CompletionStage<Void> withdraw() {
                            throw new AssertionError("workers cannot withdraw");
                        }
                    },
                    "10.0.0.1:80",
                    1_500);

    private LocalResponse post(final String path, final String body) {
        return request("POST", path, body.replace('\'', '"'));
    }

    private LocalResponse request(final String method, final String path, final String body) {
        return mEndpoint.respond(method, path, body).toCompletableFuture().join();
    }

    @Nested
    class Heartbeats {
        @Test
        void shouldAnnounceTheWorkerWhenTheHeartbeatIsValid() {
            assertThat(post(PATH, VALID_HEARTBEAT).status()).isEqualTo(200);
            final TargetAnnouncement announced = mAnnounced.get(0);
            assertThat(announced.id()).isEqualTo("i-1");
            assertThat(announced.service()).isEqualTo("s");
            assertThat(announced.slots()).isEqualTo(6);
            assertThat(announced.incarnation()).isEqualTo(17);
            assertThat(announced.sequence()).isEqualTo(4);
            assertThat(announced.coldMillis()).isEqualTo(1_500);
            assertThat(announced.draining()).isFalse();
        }

        @Test
        void shouldAnnounceDrainingWhenTheStateIsDraining() {
            post(PATH, VALID_HEARTBEAT.replace("ready", "draining"));
            assertThat(mAnnounced.get(0).draining()).isTrue();
        }

        @Test
        void shouldIgnoreUnknownFields() {
            assertThat(post(PATH, VALID_HEARTBEAT.replace("'born'", "'more':[1],'born'")).status())
                    .isEqualTo(200);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "{",
                    "[]",
                    "{}",
                    "\u0000\u0001",
                    "{'address':'10.0.0.1:80'}",
                    "{'address':1,'born':17,'info':{'service':'s','slots':6},"
                            + "'status':{'state':'ready','seqNo':4,'coldRemainingS':0}}",
                    "{'address':'10.0.0.1:80','info':{'service':'s','slots':6},"
                            + "'status':{'state':'ready','seqNo':4,'coldRemainingS':0}}",
                    "{'address':'10.0.0.1:80','born':1.5,'info':{'service':'s','slots':6},"
                            + "'status':{'state':'ready','seqNo':4,'coldRemainingS':0}}",
                    "{'address':'10.0.0.1:80','born':17,'info':{'service':'s','slots':'6'},"
                            + "'status':{'state':'ready','seqNo':4,'coldRemainingS':0}}",
                    "{'address':'10.0.0.1:80','born':17,'info':{'service':'s','slots':0},"
                            + "'status':{'state':'ready','seqNo':4,'coldRemainingS':0}}",
                    "{'address':'10.0.0.1:80','born':17,'info':{'service':'s','slots':6},"
                            + "'status':{'state':'resting','seqNo':4,'coldRemainingS':0}}",
                    "{'address':'10.0.0.1:80','born':17,'info':{'service':'s','slots':6},"
                            + "'status':{'state':'ready','seqNo':4,'coldRemainingS':'no'}}",
                    "{'address':'10.9.9.9:80','born':17,'info':{'service':'s','slots':6},"
                            + "'status':{'state':'ready','seqNo':4,'coldRemainingS':0}}",
                })
        void shouldRejectTheHeartbeatWhenItIsInvalid(final String body) {
            assertThat(post(PATH, body).status()).isEqualTo(400);
            assertThat(mAnnounced).isEmpty();
        }
    }

    @Nested
    class Requests {
        @Test
        void shouldMarkTheWorkerLeavingWhenItSendsALeave() {
            assertThat(post("/-/Instances.Leave/i-1", "").status()).isEqualTo(200);
            assertThat(mLeavingIds).containsExactly("i-1");
            assertThat(mLeavingIncarnation).isEmpty();
        }

        @Test
        void shouldNameTheProcessThatLeaves() {
            post("/-/Instances.Leave/i-1", "{'born':17}");
            assertThat(mLeavingIncarnation).hasValue(17);
        }

        @Test
        void shouldRejectTheRequestWhenThePathOrMethodIsUnknown() {
            assertThat(post("/-/Instances.Other/i-1", "").status()).isEqualTo(404);
            assertThat(request("GET", PATH, "").status()).isEqualTo(405);
        }
    }
}
