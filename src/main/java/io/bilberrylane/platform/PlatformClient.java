package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.ResponseTooLongException;
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

/** A client of the platform's object API over HTTP that opens one connection for each request. */
public final class PlatformClient implements ObjectStore {
    /** A page of a list has about a megabyte and may end with a value of another one. */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    /** Longer lists, of all pages, are not read: no kind has more than some values and names. */
    private static final long MAX_LIST_CHARS = 2L * MAX_RESPONSE_BYTES;

    private final SimpleHttpClient mHttpClient;
    private final URI mBaseUri;
    private final long mTimeoutMillis;
    private final PlatformCounters mCounters = new PlatformCounters();

    private PlatformClient(final Transport transport, final URI baseUri, final long timeoutMillis) {
        mHttpClient = SimpleHttpClient.of(transport, MAX_RESPONSE_BYTES);
        mBaseUri = baseUri;
        mTimeoutMillis = timeoutMillis;
    }

    /**
     * Returns a client.
     *
     * @param transport the event loops and channel types
     * @param baseUri the base URI of the platform, such as {@code http://127.0.0.1:7000}
     * @param timeoutMillis the timeout of one request, in milliseconds; a watch has its wait in
     *     addition
     * @return a client without open connections
     */
    public static PlatformClient of(
            final Transport transport, final URI baseUri, final long timeoutMillis) {
        return new PlatformClient(
                Objects.requireNonNull(transport, "transport is null"),
                Objects.requireNonNull(baseUri, "baseUri is null"),
                timeoutMillis);
    }

    /**
     * Returns the request counters.
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
        return call(HttpMethod.GET, StoreRequest.ofObject(kind, name), "")
                .thenApply(text -> ObjectJson.read(kind, ObjectJson.parse(text)));
    }

    @Override
    public CompletableFuture<ObjectList> list(final String kind) {
        return listPages(kind, "", false, 0, new ArrayList<>());
    }

    @Override
    public CompletableFuture<ObjectList> listStale(final String kind) {
        return listPages(kind, "", true, 0, new ArrayList<>());
    }

    private CompletableFuture<ObjectList> listPages(
            final String kind,
            final String afterName,
            final boolean staleAllowed,
            final long previousChars,
            final List<StoredObject> collected) {
        mCounters.countRead();
        return call(HttpMethod.GET, StoreRequest.ofPage(kind, afterName, staleAllowed), "")
                .thenCompose(
                        text -> {
                            final JsonNode root = ObjectJson.parse(text);
                            final ObjectList page = ObjectJson.readList(kind, root);
                            collected.addAll(page.items());
                            if (!ObjectJson.hasMore(root) || page.items().isEmpty()) {
                                return CompletableFuture.completedFuture(
                                        new ObjectList(page.version(), collected));
                            }
                            final StoredObject last = page.items().get(page.items().size() - 1);
                            final long chars = previousChars + text.length();
                            if (last.name().equals(afterName) || chars > MAX_LIST_CHARS) {
                                throw new BilberrylaneException(
                                        ErrorCode.PLATFORM_UNREADABLE,
                                        "the list of " + kind + " has no end");
                            }
                            return listPages(kind, last.name(), staleAllowed, chars, collected);
                        });
    }

    @Override
    public AutoCloseable watch(
            final String kind,
            final long version,
            final long waitMillis,
            final WatchListener listener) {
        final LongPoll longPoll = new LongPoll(kind, waitMillis, listener);
        longPoll.poll(version);
        return longPoll::close;
    }

    /** A watch: sends one long-polling request after another until one fails or it is closed. */
    private final class LongPoll {
        private final String mKind;
        private final long mWaitMillis;
        private final WatchListener mListener;
        private CompletableFuture<HttpReply> mPendingReply;
        private boolean mClosed;

        private LongPoll(final String kind, final long waitMillis, final WatchListener listener) {
            mKind = kind;
            mWaitMillis = waitMillis;
            mListener = listener;
        }

        private void poll(final long version) {
            final CompletableFuture<HttpReply> pendingReply = send(version);
            if (pendingReply != null) {
                pendingReply
                        .handle(PlatformClient.this::bodyOrThrow)
                        .thenApply(text -> ObjectJson.readEvents(mKind, ObjectJson.parse(text)))
                        .whenComplete((events, failure) -> onReply(version, events, failure));
            }
        }

        private synchronized CompletableFuture<HttpReply> send(final long version) {
            if (mClosed) {
                return null;
            }
            mCounters.countRead();
            final String uri = StoreRequest.ofWatch(mKind, version, mWaitMillis).uri();
            mPendingReply =
                    mHttpClient.call(
                            address(), HttpMethod.GET, uri, "", mWaitMillis + mTimeoutMillis);
            return mPendingReply;
        }

        private void onReply(
                final long version, final ObjectEvents events, final Throwable failure) {
            if (isClosed()) {
                return;
            }
            if (failure != null) {
                mListener.onEnded(toBilberrylaneException(failure));
                return;
            }
            mListener.onEvents(events);
            poll(Math.max(version, events.version()));
        }

        private synchronized boolean isClosed() {
            return mClosed;
        }

        private synchronized void close() {
            mClosed = true;
            mPendingReply.cancel(false);
        }
    }

    // -- writes

    @Override
    public CompletableFuture<StoredObject> create(
            final String kind, final String name, final JsonNode spec) {
        mCounters.countWrite();
        final String body = ObjectJson.write(StoredObject.of(kind, name, 0, spec)).toString();
        return call(HttpMethod.POST, StoreRequest.ofKind(kind), body)
                .thenApply(text -> ObjectJson.read(kind, ObjectJson.parse(text)));
    }

    @Override
    public CompletableFuture<StoredObject> update(
            final String kind, final String name, final long version, final JsonNode spec) {
        return replace(
                StoreRequest.ofObject(kind, name), StoredObject.of(kind, name, version, spec));
    }

    @Override
    public CompletableFuture<StoredObject> updateStatus(
            final String kind, final String name, final long version, final JsonNode status) {
        return replace(
                StoreRequest.ofStatus(kind, name),
                new StoredObject(kind, name, version, NullNode.getInstance(), status));
    }

    private CompletableFuture<StoredObject> replace(
            final StoreRequest request, final StoredObject object) {
        mCounters.countWrite();
        return call(HttpMethod.PUT, request, ObjectJson.write(object).toString())
                .thenApply(text -> ObjectJson.read(object.kind(), ObjectJson.parse(text)));
    }

    @Override
    public CompletableFuture<Void> delete(
            final String kind, final String name, final long version) {
        mCounters.countWrite();
        return call(HttpMethod.DELETE, StoreRequest.ofObjectVersion(kind, name, version), "")
                .thenApply(text -> null);
    }

    // -- requests

    private CompletableFuture<String> call(
            final HttpMethod method, final StoreRequest request, final String body) {
        return mHttpClient
                .call(address(), method, request.uri(), body, mTimeoutMillis)
                .handle(this::bodyOrThrow);
    }

    private String bodyOrThrow(final HttpReply reply, final Throwable failure) {
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
        return new InetSocketAddress(mBaseUri.getHost(), mBaseUri.getPort());
    }

    private static BilberrylaneException toBilberrylaneException(final Throwable failure) {
        final Throwable cause =
                failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof BilberrylaneException exception ? exception : unavailable(cause);
    }

    private static BilberrylaneException unavailable(final Throwable cause) {
        final ErrorCode code =
                cause instanceof ResponseTooLongException
                        ? ErrorCode.PLATFORM_UNREADABLE
                        : ErrorCode.PLATFORM_UNAVAILABLE;
        return new BilberrylaneException(code, "no response from the platform: " + cause, cause);
    }
}
