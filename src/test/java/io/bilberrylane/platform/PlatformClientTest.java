package io.bilberrylane.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.Transport;
import io.bilberrylane.standin.PlatformFaults;
import io.bilberrylane.standin.PlatformStandIn;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PlatformClientTest {
    private static final JsonNode ONE = IntNode.valueOf(1);
    private static final JsonNode TWO = IntNode.valueOf(2);

    private Transport mTransport;
    private PlatformStandIn mStandIn;
    private PlatformClient mClient;

    @BeforeEach
    void start() {
        mTransport = Transport.of(1);
        mStandIn =
                PlatformStandIn.start(
                        mTransport, new InetSocketAddress("127.0.0.1", 0), PlatformFaults.NONE);
        mClient =
                PlatformClient.of(
                        mTransport,
                        URI.create("http://127.0.0.1:" + mStandIn.address().getPort()),
                        400);
    }

    @AfterEach
    void stop() {
        mStandIn.close();
        mTransport.close();
    }

    private static ErrorCode failureCode(final Supplier<CompletableFuture<?>> call) {
        try {
            call.get().join();
            throw new AssertionError("the call succeeded");
        } catch (CompletionException e) {
            return ((BilberrylaneException) e.getCause()).code();
        }
    }

    @Nested
    class Writes {
        @Test
        void shouldRefuseTheSecondCreateWhenTheNameIsTaken() {
            mClient.create("k", "a", ONE).join();
            assertThat(failureCode(() -> mClient.create("k", "a", TWO)))
                    .isEqualTo(ErrorCode.PLATFORM_CONFLICT);
            assertThat(mClient.get("k", "a").join().spec()).isEqualTo(ONE);
        }

        @Test
        void shouldRefuseAnUpdateWhenItsVersionIsNotCurrent() {
            final long version = mClient.create("k", "a", ONE).join().version();
            mClient.update("k", "a", version, TWO).join();
            assertThat(failureCode(() -> mClient.update("k", "a", version, ONE)))
                    .isEqualTo(ErrorCode.PLATFORM_CONFLICT);
        }

        @Test
        void shouldDeleteOnlyWhenTheVersionIsCurrent() {
            final long version = mClient.create("k", "a", ONE).join().version();
            assertThat(failureCode(() -> mClient.delete("k", "a", version + 1)))
                    .isEqualTo(ErrorCode.PLATFORM_CONFLICT);
            mClient.delete("k", "a", version).join();
            assertThat(failureCode(() -> mClient.get("k", "a")))
                    .isEqualTo(ErrorCode.PLATFORM_NOT_FOUND);
        }
    }

    @Nested
    class Faults {
        @Test
        void shouldReportUnavailableWhenThePlatformIsDown() {
            mStandIn.setFaults(new PlatformFaults(true, 0, 0, false, 0, 0));
            assertThat(failureCode(() -> mClient.get("k", "a")))
                    .isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
        }

        @Test
        void shouldReportUnavailableWhenTheResponseIsTooSlow() {
            mStandIn.setFaults(new PlatformFaults(false, 2_000, 0, false, 0, 0));
            assertThat(failureCode(() -> mClient.list("k")))
                    .isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
        }

        @Test
        void shouldReportUnavailableAndApplyTheWriteWhenTheResponseIsLost() {
            mStandIn.setFaults(new PlatformFaults(false, 0, 100, false, 0, 0));
            assertThat(failureCode(() -> mClient.create("k", "a", ONE)))
                    .isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
            assertThat(mClient.get("k", "a").join().spec()).isEqualTo(ONE);
        }

        @Test
        void shouldReportThrottledWhenTheRateIsExceeded() {
            mStandIn.setFaults(new PlatformFaults(false, 0, 0, false, 1, 0));
            mClient.create("k", "a", ONE).join();
            assertThat(failureCode(() -> mClient.create("k", "b", ONE)))
                    .isEqualTo(ErrorCode.PLATFORM_THROTTLED);
        }
    }

    @Nested
    class Watches {
        private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();
        private final WatchListener mListener =
                new WatchListener() {
                    @Override
                    public void onEvents(final ObjectEvents events) {
                        for (final ObjectEvent event : events.events()) {
                            mEvents.add(
                                    (event.deleted() ? "deleted " : "changed ")
                                            + event.object().name());
                        }
                    }

                    @Override
                    public void onEnded(final RuntimeException cause) {
                        mEvents.add("ended " + ((BilberrylaneException) cause).code());
                    }
                };

        private String nextEvent() throws InterruptedException {
            return mEvents.poll(5, TimeUnit.SECONDS);
        }

        @Test
        void shouldDeliverEveryChangeWhenTheWatchStartsFromAVersion() throws InterruptedException {
            final long version = mClient.list("k").join().version();
            mClient.create("k", "a", ONE).join();
            mClient.watch("k", version, 5_000, mListener);
            assertThat(nextEvent()).isEqualTo("changed a");
            final StoredObject object = mClient.get("k", "a").join();
            mClient.delete("k", "a", object.version()).join();
            assertThat(nextEvent()).isEqualTo("deleted a");
        }

        @Test
        void shouldEndTheWatchWhenTheConnectionIsCut() throws InterruptedException {
            mClient.watch("k", 0, 5_000, mListener);
            mClient.create("k", "a", ONE).join();
            assertThat(nextEvent()).isEqualTo("changed a");
            mStandIn.setFaults(new PlatformFaults(false, 0, 0, true, 0, 0));
            assertThat(nextEvent()).isEqualTo("ended PLATFORM_UNAVAILABLE");
        }

        @Test
        void shouldEndTheWatchWithGoneWhenTheVersionIsTooOld() throws InterruptedException {
            mClient.create("k", "a", ONE).join();
            mStandIn.wipe();
            mClient.watch("k", 0, 5_000, mListener);
            assertThat(nextEvent()).isEqualTo("ended PLATFORM_GONE");
        }
    }

    @Test
    void shouldReportUnreadableWhenTheTextIsNotJson() {
        assertThatThrownBy(() -> ObjectJson.parse("{"))
                .isInstanceOf(BilberrylaneException.class)
                .extracting(e -> ((BilberrylaneException) e).code())
                .isEqualTo(ErrorCode.PLATFORM_UNREADABLE);
    }
}
