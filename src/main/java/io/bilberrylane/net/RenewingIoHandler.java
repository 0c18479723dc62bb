package io.bilberrylane.net;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoOps;
import io.netty.channel.IoRegistration;
import io.netty.channel.unix.Errors;
import java.io.UncheckedIOException;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An I/O handler that registers a channel anew when its event queue no longer knows the channel's
 * descriptor. Netty would close the channel, and with it a connection whose request is already in
 * progress. Every other error is left to Netty.
 */
final class RenewingIoHandler implements IoHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final IoHandler mHandler;
    private final AtomicLong mRenewals;

    private RenewingIoHandler(final IoHandler handler, final AtomicLong renewals) {
        mHandler = handler;
        mRenewals = renewals;
    }

    /**
     * Returns a factory of handlers that renew lost registrations.
     *
     * @param factory creates the handlers that do the I/O
     * @param renewals counts the registrations that were renewed
     * @return a factory
     */
    static IoHandlerFactory factory(final IoHandlerFactory factory, final AtomicLong renewals) {
        Objects.requireNonNull(factory, "factory is null");
        Objects.requireNonNull(renewals, "renewals is null");
        return executor -> new RenewingIoHandler(factory.newHandler(executor), renewals);
    }

    @Override
    public IoRegistration register(final IoHandle handle) throws Exception {
        return new RenewableRegistration(handle, mHandler.register(handle));
    }

    private static boolean isLost(final UncheckedIOException failure) {
        return failure.getCause() instanceof Errors.NativeIoException cause
                && cause.expectedErr() == Errors.ERRNO_ENOENT_NEGATIVE;
    }

    /** A registration that is replaced when it is lost. Used on the event loop of its channel. */
    private final class RenewableRegistration implements IoRegistration {
        private final IoHandle mHandle;
        private IoRegistration mRegistration;

        private RenewableRegistration(final IoHandle handle, final IoRegistration registration) {
            mHandle = handle;
            mRegistration = registration;
        }

        @Override
        public long submit(final IoOps ops) {
            try {
                return mRegistration.submit(ops);
            } catch (UncheckedIOException e) {
                if (!isLost(e)) {
                    throw e;
                }
                renew(e);
                return mRegistration.submit(ops);
            }
        }

        private void renew(final UncheckedIOException loss) {
            mRegistration.cancel();
            try {
                mRegistration = mHandler.register(mHandle);
            } catch (Exception e) {
                loss.addSuppressed(e);
                throw loss;
            }
            mRenewals.incrementAndGet();
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "the event queue no longer knew a descriptor; registered it anew: %s", mHandle);
        }

        @Override
        public <T> T attachment() {
            return mRegistration.attachment();
        }

        @Override
        public boolean isValid() {
            return mRegistration.isValid();
        }

        @Override
        public boolean cancel() {
            return mRegistration.cancel();
        }
    }

    // -- delegation

    @Override
    public void initialize() {
        mHandler.initialize();
    }

    @Override
    public int run(final IoHandlerContext context) {
        return mHandler.run(context);
    }

    @Override
    public void prepareToDestroy() {
        mHandler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        mHandler.destroy();
    }

    @Override
    public void wakeup() {
        mHandler.wakeup();
    }

    @Override
    public boolean isCompatible(final Class<? extends IoHandle> handleType) {
        return mHandler.isCompatible(handleType);
    }
}
