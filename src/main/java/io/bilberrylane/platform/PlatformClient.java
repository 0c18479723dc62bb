package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Calls the platform's object API over HTTP, one connection for each call. */
public final class PlatformClient implements ObjectStore {
    private final SimpleHttpClient mCaller;
    private final URI mBase;
    private final long mTimeoutMillis;
    private final PlatformCounters mCounters = new PlatformCounters();

    private PlatformClient(final Transport transport, final URI base, final long timeoutMillis) {
        mCaller = SimpleHttpClient.of(transport);
        mBase = base;
        mTimeoutMillis = timeoutMillis;
    }

    /**
     * Returns a client.
     *
     * @param transport threads and channel types
     * @param base the platform's address, such as {@code http://127.0.0.1:7000}
     * @param timeoutMillis the longest time for one call, in milliseconds
     * @return a client without open connections
     */
    public static PlatformClient of(
            final Transport transport, final URI base, final long timeoutMillis) {
        return new PlatformClient(
                Objects.requireNonNull(transport, "transport is null"),
                Objects.requireNonNull(base, "base is null"),
                timeoutMillis);
    }

    /**
     * Returns the counts of calls.
     *
     * @return live counters
     */
    public PlatformCounters counters() {
        return mCounters;
    }

    // -- reads

    @Override
    public CompletableFuture<StoredObject> get(final String kind, final String name) {
        mCounters.countRead();
        return call(HttpMethod.GET, StoreCall.ofObject(kind, name), "")
                .thenApply(text -> ObjectJson.read(kind, ObjectJson.parse(text)));
    }

    @Override
    public CompletableFuture<ObjectList> list(final String kind) {
        return page(kind, "", false, new ArrayList<>());
    }

    @Override
    public CompletableFuture<ObjectList> listStale(final String kind) {
        return page(kind, "", true, new ArrayList<>());
    }

    private CompletableFuture<ObjectList> page(
            final String kind,
            final String after,
            final boolean stale,
            final List<StoredObject> before) {
        mCounters.countRead();
        return call(HttpMethod.GET, StoreCall.ofPage(kind, after, stale), "")
                .thenCompose(
                        text -> {
                            final JsonNode root = ObjectJson.parse(text);
                            final ObjectList page = ObjectJson.readList(kind, root);
                            before.addAll(page.items());
                            if (!ObjectJson.hasMore(root) || page.items().isEmpty()) {
                                return CompletableFuture.completedFuture(
                                        new ObjectList(page.version(), before));
                            }
                            final StoredObject last = page.items().get(page.items().size() - 1);
                            return page(kind, last.name(), stale, before);
                        });
    }

    @Override
    public AutoCloseable watch(
            final String kind,
            final long version,
            final long waitMillis,
            final WatchListener listener) {
        final Poll poll = new Poll(kind, waitMillis, listener);
        poll.next(version);
        return poll::close;
    }

    /** One watch: waiting calls in a row, until one fails or the watch is closed. */
    private final class Poll {
        private final String mKind;
        private final long mWaitMillis;
        private final WatchListener mListener;
        private CompletableFuture<HttpReply> mCall;
        private boolean mClosed;

        private Poll(final String kind, final long waitMillis, final WatchListener listener) {
            mKind = kind;
            mWaitMillis = waitMillis;
            mListener = listener;
        }

        private void next(final long version) {
            final CompletableFuture<HttpReply> call = start(version);
            if (call != null) {
                call.handle(PlatformClient.this::text)
                        .thenApply(text -> ObjectJson.readEvents(mKind, ObjectJson.parse(text)))
                        .whenComplete((events, failure) -> onAnswer(version, events, failure));
            }
        }

        private synchronized CompletableFuture<HttpReply> start(final long version) {
            if (mClosed) {
                return null;
            }
            mCounters.countRead();
            final String uri = StoreCall.ofWatch(mKind, version, mWaitMillis).uri();
            mCall = mCaller.call(address(), HttpMethod.GET, uri, "", mWaitMillis + mTimeoutMillis);
            return mCall;
        }

        private void onAnswer(
                final long version, final ObjectEvents events, final Throwable failure) {
            if (isClosed()) {
                return;
            }
            if (failure != null) {
                mListener.onEnded(known(failure));
                return;
            }
            mListener.onEvents(events);
            next(Math.max(version, events.version()));
        }

        private synchronized boolean isClosed() {
            return mClosed;
        }

        private synchronized void close() {
            mClosed = true;
            mCall.cancel(false);
        }
    }

    // -- writes

    @Override
    public CompletableFuture<StoredObject> create(
            final String kind, final String name, final JsonNode spec) {
        mCounters.countWrite();
        final String body = ObjectJson.write(StoredObject.of(kind, name, 0, spec)).toString();
        return call(HttpMethod.POST, StoreCall.ofKind(kind), body)
                .thenApply(text -> ObjectJson.read(kind, ObjectJson.parse(text)));
    }

    @Override
    public CompletableFuture<StoredObject> update(
            final String kind, final String name, final long version, final JsonNode spec) {
        return replace(StoreCall.ofObject(kind, name), StoredObject.of(kind, name, version, spec));
    }

    @Override
    public CompletableFuture<StoredObject> updateStatus(
            final String kind, final String name, final long version, final JsonNode status) {
        return replace(
                StoreCall.ofStatus(kind, name),
                new StoredObject(kind, name, version, NullNode.getInstance(), status));
    }

    private CompletableFuture<StoredObject> replace(
            final StoreCall call, final StoredObject object) {
        mCounters.countWrite();
        return call(HttpMethod.PUT, call, ObjectJson.write(object).toString())
                .thenApply(text -> ObjectJson.read(object.kind(), ObjectJson.parse(text)));
    }

    @Override
    public CompletableFuture<Void> delete(
            final String kind, final String name, final long version) {
        mCounters.countWrite();
        return call(HttpMethod.DELETE, StoreCall.ofVersion(kind, name, version), "")
                .thenApply(text -> null);
    }

    // -- calls

    private CompletableFuture<String> call(
            final HttpMethod method, final StoreCall call, final String body) {
        return mCaller.call(address(), method, call.uri(), body, mTimeoutMillis).handle(this::text);
    }

    private String text(final HttpReply reply, final Throwable failure) {
        if (failure != null) {
            mCounters.countFailure();
            throw unavailable(failure);
        }
        if (!reply.isSuccess()) {
            mCounters.countFailure();
            throw PlatformErrors.of(reply.status(), reply.body());
        }
        return reply.body();
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(mBase.getHost(), mBase.getPort());
    }

    private static BilberrylaneException known(final Throwable failure) {
        final Throwable cause =
                failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof BilberrylaneException known ? known : unavailable(cause);
    }

    private static BilberrylaneException unavailable(final Throwable cause) {
        return new BilberrylaneException(
                ErrorCode.PLATFORM_UNAVAILABLE, "no answer of the platform: " + cause, cause);
    }
}
