package io.bilberrylane.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoOps;
import io.netty.channel.IoRegistration;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.unix.Errors;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicInteger;

/** Epoll that on request answers as if it did not know a descriptor that was registered. */
public final class FaultyIoHandler implements IoHandler {
    private final IoHandler mHandler;
    private final Faults mFaults;

    private FaultyIoHandler(final IoHandler handler, final Faults faults) {
        mHandler = handler;
        mFaults = faults;
    }

    /** The next changes of registrations that fail. */
    public static final class Faults {
        private final AtomicInteger mLost = new AtomicInteger();
        private volatile int mError;

        /** Loads the native library, which the error numbers are read from. */
        public Faults() {
            Epoll.ensureAvailability();
            mError = Errors.ERRNO_ENOENT_NEGATIVE;
        }

        /** Lets the next change of any registration fail. */
        public void loseNext() {
            mLost.incrementAndGet();
        }

        /** Lets the next change of any registration fail with another error of the system. */
        public void failNextWith(final int error) {
            mError = error;
            mLost.incrementAndGet();
        }

        private void check() {
            if (mLost.getAndUpdate(lost -> Math.max(0, lost - 1)) > 0) {
                final IOException cause = Errors.newIOException("epoll_ctl", mError);
                throw new UncheckedIOException(cause);
            }
        }

        /** Returns a transport that has these faults. */
        public Transport transport() {
            final IoHandlerFactory epoll = EpollIoHandler.newFactory();
            return Transport.ofEpoll(
                    1, executor -> new FaultyIoHandler(epoll.newHandler(executor), this));
        }
    }

    @Override
    public IoRegistration register(final IoHandle handle) throws Exception {
        final IoRegistration registration = mHandler.register(handle);
        return new IoRegistration() {
            @Override
            public <T> T attachment() {
                return registration.attachment();
            }

            @Override
            public long submit(final IoOps ops) {
                mFaults.check();
                return registration.submit(ops);
            }

            @Override
            public boolean isValid() {
                return registration.isValid();
            }

            @Override
            public boolean cancel() {
                return registration.cancel();
            }
        };
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
