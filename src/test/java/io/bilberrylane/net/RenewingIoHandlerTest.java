package io.bilberrylane.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoOps;
import io.netty.channel.IoRegistration;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.unix.Errors;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Changes of a registration that the operating system refuses. */
final class RenewingIoHandlerTest {
    private static final IoOps OPS = new IoOps() {};

    private final AtomicLong mRenewals = new AtomicLong();
    private final ScriptedIo mIo = new ScriptedIo();
    private IoRegistration mRegistration;

    @BeforeEach
    void register() throws Exception {
        Epoll.ensureAvailability();
        mRegistration =
                RenewingIoHandler.factory(executor -> mIo, mRenewals)
                        .newHandler(null)
                        .register(new NoHandle());
    }

    private static UncheckedIOException failure(final int error) {
        return new UncheckedIOException(Errors.newIOException("epoll_ctl", error));
    }

    @Nested
    class LostDescriptor {
        @BeforeEach
        void lose() {
            mIo.mFailures.add(failure(Errors.ERRNO_ENOENT_NEGATIVE));
        }

        @Test
        void shouldRegisterAnewAndRepeatTheChange() {
            mRegistration.submit(OPS);
            assertThat(mIo.mEvents).containsExactly("register", "cancel", "register", "submit");
            assertThat(mRenewals).hasValue(1);
        }

        @Test
        void shouldUseTheNewRegistrationFromThenOn() {
            mRegistration.submit(OPS);
            mRegistration.submit(OPS);
            assertThat(mIo.mEvents.subList(3, 5)).containsExactly("submit", "submit");
            assertThat(mRegistration.isValid()).isTrue();
        }

        // Guards against: a channel that cannot be registered anew stays open and gets no events.
        @Test
        void shouldFailWhenTheChannelCannotBeRegisteredAnew() {
            mIo.mRegisterFails = true;
            assertThatThrownBy(() -> mRegistration.submit(OPS))
                    .isInstanceOf(UncheckedIOException.class)
                    .satisfies(e -> assertThat(e.getSuppressed()).hasSize(1));
            assertThat(mRenewals).hasValue(0);
        }
    }

    @Nested
    class AnotherError {
        @Test
        void shouldBeLeftToTheChannel() {
            mIo.mFailures.add(failure(Errors.ERRNO_EBADF_NEGATIVE));
            assertThatThrownBy(() -> mRegistration.submit(OPS))
                    .isInstanceOf(UncheckedIOException.class);
            assertThat(mIo.mEvents).containsExactly("register");
        }
    }

    /** A channel without a descriptor. */
    private static final class NoHandle implements IoHandle {
        @Override
        public void handle(final IoRegistration registration, final IoEvent event) {
            throw new AssertionError("no event is expected");
        }

        @Override
        public void close() {
            // There is nothing to close.
        }
    }

    /** Records what is asked of it; changes fail in the given order. */
    private static final class ScriptedIo implements IoHandler {
        private final List<String> mEvents = new ArrayList<>();
        private final Deque<UncheckedIOException> mFailures = new ArrayDeque<>();
        private boolean mRegisterFails;

        @Override
        public IoRegistration register(final IoHandle handle) throws IOException {
            if (mRegisterFails) {
                throw new IOException("the channel cannot be registered");
            }
            mEvents.add("register");
            return new ScriptedRegistration();
        }

        @Override
        public int run(final IoHandlerContext context) {
            return 0;
        }

        @Override
        public void wakeup() {
            // Nothing waits.
        }

        @Override
        public boolean isCompatible(final Class<? extends IoHandle> handleType) {
            return true;
        }

        private final class ScriptedRegistration implements IoRegistration {
            private boolean mCancelled;

            @Override
            public <T> T attachment() {
                return null;
            }

            @Override
            public long submit(final IoOps ops) {
                if (!mFailures.isEmpty()) {
                    throw mFailures.poll();
                }
                mEvents.add("submit");
                return 0;
            }

            @Override
            public boolean isValid() {
                return !mCancelled;
            }

            @Override
            public boolean cancel() {
                mEvents.add("cancel");
                mCancelled = true;
                return true;
            }
        }
    }
}
