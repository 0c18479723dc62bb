package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.Transport;
import io.bilberrylane.platform.ObjectEvent;
import io.bilberrylane.platform.ObjectEvents;
import io.bilberrylane.platform.ObjectList;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import io.bilberrylane.platform.WatchListener;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class KindWatchTest {
    private static final StoredObject NEWER = StoredObject.of("k", "a", 8, NullNode.getInstance());

    private final Transport mTransport = Transport.of(1);
    private final StubStore mStore = new StubStore();
    private final BlockingQueue<Long> mDeliveredVersions = new LinkedBlockingQueue<>();
    private volatile boolean mListHoldsAll;
    private volatile boolean mListed;
    private final KindWatch mWatch = new KindWatch(mTransport, mStore, mStore, "k", new Recorder());

    @AfterEach
    void stop() {
        mWatch.stop();
        mTransport.close();
    }

    /** A store whose watches deliver only the events that a test passes to the listener. */
    private static final class StubStore implements ObjectStore {
        private final BlockingQueue<Long> mWatchedFrom = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> mClosed = new LinkedBlockingQueue<>();
        private volatile ObjectList mStaleList = new ObjectList(5, List.of());
        private final BlockingQueue<CompletableFuture<ObjectList>> mLists =
                new LinkedBlockingQueue<>();
        private volatile boolean mListsWait;
        private volatile boolean mUnavailable;
        private volatile WatchListener mListener;

        @Override
        public CompletableFuture<ObjectList> list(final String kind) {
            final CompletableFuture<ObjectList> reply = new CompletableFuture<>();
            mLists.add(reply);
            if (!mListsWait) {
                reply.complete(new ObjectList(5, List.of()));
            }
            return reply;
        }

        @Override
        public CompletableFuture<ObjectList> listStale(final String kind) {
            return mUnavailable
                    ? CompletableFuture.failedFuture(
                            new BilberrylaneException(ErrorCode.PLATFORM_UNAVAILABLE, "down"))
                    : CompletableFuture.completedFuture(mStaleList);
        }

        @Override
        public AutoCloseable watch(
                final String kind,
                final long version,
                final long waitMillis,
                final WatchListener listener) {
            mListener = listener;
            mWatchedFrom.add(version);
            return () -> mClosed.add("closed");
        }

        @Override
        public CompletableFuture<StoredObject> get(final String kind, final String name) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoredObject> create(
                final String kind, final String name, final JsonNode spec) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoredObject> update(
                final String kind, final String name, final long version, final JsonNode spec) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoredObject> updateStatus(
                final String kind, final String name, final long version, final JsonNode status) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> delete(
                final String kind, final String name, final long version) {
            throw new UnsupportedOperationException();
        }
    }

    private final class Recorder implements KindWatch.Listener {
        @Override
        public boolean isKnown() {
            return mListed && mListHoldsAll;
        }

        @Override
        public void onList(final long version, final List<StoredObject> objects) {
            mListed = true;
            mDeliveredVersions.add(version);
        }

        @Override
        public void onEvents(final long version, final List<ObjectEvent> events) {
            mDeliveredVersions.add(version);
        }

        @Override
        public boolean differs(final List<StoredObject> objects) {
            return !objects.isEmpty();
        }
    }

    private static <T> T next(final BlockingQueue<T> queue) throws InterruptedException {
        return queue.poll(8, TimeUnit.SECONDS);
    }

    @Test
    void shouldRestartTheWatchWhenAStaleReadShowsAMissedChange() throws Exception {
        mWatch.setMode(KindWatch.Mode.WATCH);
        assertThat(next(mDeliveredVersions)).isEqualTo(5);
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
        mStore.mStaleList = new ObjectList(9, List.of(NEWER));
        assertThat(next(mStore.mClosed)).isEqualTo("closed");
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
    }

    @Test
    void shouldRestartTheWatchWhenThePlatformRecoversFromAnOutage() throws Exception {
        mWatch.setMode(KindWatch.Mode.WATCH);
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
        mStore.mUnavailable = true;
        TimeUnit.MILLISECONDS.sleep(3_000);
        assertThat(mStore.mClosed).isEmpty();
        mStore.mUnavailable = false;
        assertThat(next(mStore.mClosed)).isEqualTo("closed");
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
    }

    @Test
    void shouldListAgainWhenTheHistoryIsGone() throws Exception {
        mWatch.setMode(KindWatch.Mode.WATCH);
        assertThat(next(mDeliveredVersions)).isEqualTo(5);
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
        mStore.mListener.onEnded(
                new BilberrylaneException(ErrorCode.PLATFORM_GONE, "history is gone"));
        assertThat(next(mDeliveredVersions)).isEqualTo(5);
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
    }

    /** Events that are too long would be too long again; the pages of a list are not. */
    @Test
    void shouldListAgainWhenTheEventsCannotBeRead() throws Exception {
        mWatch.setMode(KindWatch.Mode.WATCH);
        assertThat(next(mDeliveredVersions)).isEqualTo(5);
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
        mStore.mListener.onEvents(new ObjectEvents(8, List.of(new ObjectEvent(NEWER, false))));
        assertThat(next(mDeliveredVersions)).isEqualTo(8);
        mStore.mListener.onEnded(
                new BilberrylaneException(ErrorCode.PLATFORM_UNREADABLE, "too long"));
        assertThat(next(mDeliveredVersions)).isEqualTo(5);
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
    }

    @Test
    void shouldResumeFromTheLastEventWhenTheWatchIsCut() throws Exception {
        mWatch.setMode(KindWatch.Mode.WATCH);
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
        mStore.mListener.onEvents(new ObjectEvents(8, List.of(new ObjectEvent(NEWER, false))));
        mStore.mListener.onEnded(new BilberrylaneException(ErrorCode.PLATFORM_UNAVAILABLE, "cut"));
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(8);
    }

    /** Nodes that start together must not each pay for watches that only a few of them need. */
    @Test
    void shouldNotWatchWhenTheListHoldsWhatIsNeeded() throws Exception {
        mListHoldsAll = true;
        mWatch.setMode(KindWatch.Mode.UNTIL_KNOWN);
        assertThat(mStore.mWatchedFrom.poll(300, TimeUnit.MILLISECONDS)).isNull();
        assertThat(mListed).isTrue();
        mWatch.setMode(KindWatch.Mode.WATCH);
        assertThat(mStore.mWatchedFrom.poll(5, TimeUnit.SECONDS)).isEqualTo(5);
    }

    @Test
    void shouldWatchWhenTheListLacksWhatIsNeeded() throws Exception {
        mWatch.setMode(KindWatch.Mode.UNTIL_KNOWN);
        assertThat(mStore.mWatchedFrom.poll(5, TimeUnit.SECONDS)).isEqualTo(5);
    }

    // Guards against: a node that watches again after a long time misses what the platform no
    // longer has in its history.
    @Test
    void shouldListWhenReadingBeginsAgain() throws Exception {
        mWatch.setMode(KindWatch.Mode.WATCH);
        assertThat(next(mDeliveredVersions)).isEqualTo(5);
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(5);
        mStore.mListener.onEvents(new ObjectEvents(8, List.of(new ObjectEvent(NEWER, false))));
        assertThat(next(mDeliveredVersions)).isEqualTo(8);
        mWatch.setMode(KindWatch.Mode.OFF);
        mWatch.setMode(KindWatch.Mode.WATCH);
        assertThat(next(mDeliveredVersions)).isEqualTo(5);
    }

    // Guards against: a list that was requested before reading ended and began again starts a
    // second watch, which nothing closes any more.
    @Test
    void shouldWatchOnceWhenReadingBeginsAgainDuringAList() throws Exception {
        mStore.mListsWait = true;
        mWatch.setMode(KindWatch.Mode.WATCH);
        final CompletableFuture<ObjectList> earlier = next(mStore.mLists);
        mWatch.setMode(KindWatch.Mode.OFF);
        mWatch.setMode(KindWatch.Mode.WATCH);
        final CompletableFuture<ObjectList> later = next(mStore.mLists);
        later.complete(new ObjectList(9, List.of()));
        assertThat(next(mDeliveredVersions)).isEqualTo(9);
        assertThat(next(mStore.mWatchedFrom)).isEqualTo(9);
        earlier.complete(new ObjectList(5, List.of()));
        assertThat(mStore.mWatchedFrom.poll(300, TimeUnit.MILLISECONDS)).isNull();
        assertThat(mDeliveredVersions).isEmpty();
    }
}
