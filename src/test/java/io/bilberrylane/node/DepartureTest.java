package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.platform.PlatformProfile;
import io.bilberrylane.standin.PlatformFaults;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * A target departs, the process of its node ends, and an announcement that the target made before
 * its departure reaches the next process.
 */
final class DepartureTest {
    private static final String HOST = "desk";
    private static final long ACKNOWLEDGEMENT_LIMIT_MILLIS = 1_000;
    private static final long SETTLE_MILLIS = 400;

    private Fleet mFleet;
    private Node mNode;

    @BeforeEach
    void start() {
        mFleet = Fleet.of(1, 1_000);
    }

    @AfterEach
    void stop() {
        mFleet.close();
    }

    private HttpReply call(final HttpMethod method, final String uri, final String body) {
        return SimpleHttpClient.of(mFleet.mTransport)
                .call(mNode.targetAddress(), method, uri, body, ACKNOWLEDGEMENT_LIMIT_MILLIS)
                .join();
    }

    private boolean isRegistered() {
        return mNode.targetCount("calendar") == 2;
    }

    private void assertNeverRegistered() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        assertThat(isRegistered()).isFalse();
    }

    @Nested
    final class UsersPlatform {
        private void startNode() {
            mNode = mFleet.startNode(HOST, "dc-0", Fleet.loopback(), PlatformProfile.of("", 1_500));
        }

        private void beat(final String state, final long born, final int sequence) {
            final String body =
                    """
                    {"address":"127.0.0.1:9","born":%d,
                     "info":{"service":"calendar","version":"v","zone":"dc-0","slots":6},
                     "status":{"state":"%s","seqNo":%d,"coldRemainingS":0}}
                    """
                            .formatted(born, state, sequence);
            assertThat(call(HttpMethod.POST, "/-/Instances.Heartbeat/i-1", body).status())
                    .isEqualTo(200);
        }

        private void leave() {
            leave("{}");
        }

        private void leave(final String body) {
            assertThat(call(HttpMethod.POST, "/-/Instances.Leave/i-1", body).status())
                    .isEqualTo(200);
        }

        private void restart() {
            mNode.close();
            startNode();
        }

        // Guards against: a late heartbeat brings back a target whose leave was acknowledged,
        // after the node beside it was started again.
        @Test
        void shouldNotRegisterATargetThatLeftBeforeTheRestart() throws Exception {
            startNode();
            beat("ready", 1_000, 4);
            leave();
            restart();
            beat("ready", 1_000, 5);
            assertNeverRegistered();
        }

        @Test
        void shouldNotRegisterATargetThatDrainedBeforeTheRestart() throws Exception {
            startNode();
            beat("draining", 1_000, 5);
            restart();
            beat("ready", 1_000, 4);
            assertNeverRegistered();
        }

        @Test
        void shouldRegisterTheNextProcessOfATargetThatLeft() {
            startNode();
            beat("ready", 1_000, 4);
            leave();
            restart();
            beat("ready", 2_000, 1);
            Fleet.await(DepartureTest.this::isRegistered);
        }

        @Test
        void shouldKeepTheNewProcessWhenALeaveOfTheEarlierOneIsLate() throws Exception {
            startNode();
            beat("ready", 2_000, 1);
            Fleet.await(DepartureTest.this::isRegistered);
            leave("{\"born\":1000}");
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            assertThat(isRegistered()).isTrue();
        }

        /** The platform answers after the heartbeat, so it registers the target for a moment. */
        @Test
        void shouldRemoveTheTargetAgainWhenThePlatformAnswersLate() throws Exception {
            startNode();
            beat("ready", 1_000, 4);
            leave();
            mFleet.mPlatform.setFaults(new PlatformFaults(false, 600, 0, false, 0, 0));
            restart();
            beat("ready", 1_000, 5);
            TimeUnit.MILLISECONDS.sleep(600);
            Fleet.await(() -> !isRegistered());
            beat("ready", 1_000, 6);
            assertNeverRegistered();
        }

        @Test
        void shouldAcknowledgeALeaveWhileThePlatformIsDownAndRecordItAfterwards() throws Exception {
            startNode();
            beat("ready", 1_000, 4);
            mFleet.mPlatform.setFaults(new PlatformFaults(true, 0, 0, false, 0, 0));
            leave();
            mFleet.mPlatform.setFaults(PlatformFaults.NONE);
            TimeUnit.MILLISECONDS.sleep(4 * SETTLE_MILLIS);
            restart();
            beat("ready", 1_000, 5);
            assertNeverRegistered();
        }
    }

    @Nested
    final class OwnInterface {
        private static final String PATH = TargetEndpoint.PREFIX + "announcement";

        private void startNode() {
            mNode = mFleet.startNode(HOST, "dc-0", Fleet.loopback());
        }

        private void announce(final long incarnation) {
            final String body =
                    """
                    {"service":"calendar","address":"127.0.0.1:9","slots":6,"connections":20,
                     "coldSlots":1,"warmUpRequests":1,"incarnation":%d,"leaseMillis":5000,
                     "draining":false,"cold":false}
                    """
                            .formatted(incarnation);
            assertThat(call(HttpMethod.PUT, PATH, body).status()).isEqualTo(200);
        }

        @Test
        void shouldNotRegisterATargetAgainThatHasWithdrawnItself() throws Exception {
            startNode();
            announce(1_000);
            assertThat(call(HttpMethod.DELETE, PATH, "").status()).isEqualTo(200);
            mNode.close();
            startNode();
            announce(1_000);
            assertNeverRegistered();
            announce(2_000);
            Fleet.await(DepartureTest.this::isRegistered);
        }
    }
}
