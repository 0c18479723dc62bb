package io.bilberrylane.load;

import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Sends calls at random times that do not depend on answers, and checks what comes back. */
public final class LoadRun {
    private static final int MAX_RESENDS = 6;

    /** The record of a target has a line for each request that it saw. */
    private static final int MAX_RECORD_BYTES = 64 * 1024 * 1024;

    private static final long RESEND_MILLIS = 250;
    private static final long DRAIN_SECONDS = 20;

    private final Transport mTransport;
    private final LoadSettings mSettings;
    private final CallerPool mPool;
    private final Random mRandom;
    private final AtomicLong mNextNonce = new AtomicLong();
    private final AtomicLong mInProgress = new AtomicLong();
    private final String mPrefix;
    private final RunLog mLog;

    private LoadRun(final Transport transport, final LoadSettings settings) {
        mTransport = transport;
        mSettings = settings;
        mPool = new CallerPool(transport);
        mRandom = new Random(settings.seed());
        mPrefix = Long.toString(System.currentTimeMillis(), 36) + "-" + settings.seed() + "-";
        mLog = new RunLog(System.nanoTime() + (long) (settings.warmUpSeconds() * 1e9));
    }

    /**
     * Plays a run to its end. Blocks.
     *
     * @param transport threads and channel types
     * @param settings the settings
     * @return what was seen
     */
    public static LoadReport play(final Transport transport, final LoadSettings settings) {
        return new LoadRun(transport, settings).play();
    }

    private LoadReport play() {
        final long start = System.nanoTime();
        final long end = start + (long) (mSettings.seconds() * 1e9);
        double due = start;
        long planned = 0;
        while (due < end) {
            due += -Math.log(1 - mRandom.nextDouble()) * 1e9 / mSettings.callsPerSecond();
            waitUntil((long) due);
            send(plan((long) due));
            planned++;
        }
        awaitAnswers();
        final var records =
                TargetRecordReader.read(
                        SimpleHttpClient.of(mTransport, MAX_RECORD_BYTES), mSettings.controls());
        final List<Violation> violations = RunCheck.check(mLog.results(), records);
        return new LoadReport(
                mSettings, mLog, planned, mInProgress.get(), records.size(), violations);
    }

    private static void waitUntil(final long dueNanos) {
        long left = dueNanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = dueNanos - System.nanoTime();
        }
    }

    private void awaitAnswers() {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_SECONDS);
        while (mInProgress.get() > 0 && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    // -- calls

    private PlannedCall plan(final long dueNanos) {
        final Operation operation = pick();
        final boolean versus = !mSettings.versus().isEmpty() && mRandom.nextBoolean();
        final List<InetSocketAddress> addresses = versus ? mSettings.versus() : mSettings.nodes();
        final String nonce = mPrefix + mNextNonce.incrementAndGet();
        return new PlannedCall(
                operation,
                nonce,
                operation.isKeyed() ? "key-" + nonce : "",
                organisationKey(),
                addresses.get(mRandom.nextInt(addresses.size())),
                versus,
                mSettings.answerBytes(),
                bodyBytes(operation),
                dueNanos,
                0);
    }

    private String organisationKey() {
        final List<String> keys = mSettings.organisationKeys();
        return keys.isEmpty() ? "" : keys.get(mRandom.nextInt(keys.size()));
    }

    private long bodyBytes(final Operation operation) {
        return switch (operation.kind()) {
            case LOOKUP -> 0;
            case REGISTRATION -> 512;
            case UPLOAD -> mSettings.uploadBytes();
        };
    }

    private Operation pick() {
        final int total = mSettings.operations().stream().mapToInt(Operation::weight).sum();
        int left = mRandom.nextInt(total);
        for (final Operation operation : mSettings.operations()) {
            left -= operation.weight();
            if (left < 0) {
                return operation;
            }
        }
        throw new IllegalStateException("weights do not add up");
    }

    private void send(final PlannedCall call) {
        mInProgress.incrementAndGet();
        mPool.send(call, this::onResult);
    }

    private void onResult(final CallResult result) {
        mLog.add(result);
        mInProgress.decrementAndGet();
        final boolean resend =
                !result.isSuccess()
                        && result.call().operation().isKeyed()
                        && result.call().resend() < MAX_RESENDS;
        if (!resend) {
            return;
        }
        mInProgress.incrementAndGet();
        mTransport
                .group()
                .schedule(
                        () -> {
                            mInProgress.decrementAndGet();
                            send(resend(result.call()));
                        },
                        RESEND_MILLIS << result.call().resend(),
                        TimeUnit.MILLISECONDS);
    }

    private PlannedCall resend(final PlannedCall call) {
        final List<InetSocketAddress> addresses =
                call.versus() ? mSettings.versus() : mSettings.nodes();
        final int index = (addresses.indexOf(call.address()) + 1) % addresses.size();
        final String nonce = mPrefix + mNextNonce.incrementAndGet();
        return call.again(nonce, addresses.get(index), System.nanoTime());
    }
}
