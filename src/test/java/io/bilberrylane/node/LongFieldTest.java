package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.Arrays;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/**
 * A target sends header fields as long as a head may be; the queue of the log holds 2,048 lines.
 */
final class LongFieldTest {
    private static final String LONG_TEXT = "x".repeat(15_000);
    private static final int MAX_LINE_CHARS = 4_000;

    private final Queue<Integer> mLengths = new ConcurrentLinkedQueue<>();
    private final AppenderBase<ILoggingEvent> mAppender =
            new AppenderBase<>() {
                @Override
                protected void append(final ILoggingEvent event) {
                    final Object[] fields = event.getArgumentArray();
                    mLengths.add(
                            event.getFormattedMessage().length()
                                    + (fields == null ? 0 : Arrays.toString(fields).length()));
                }
            };
    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget = PlatformTarget.start(request -> request.answer("ok"));
        mNode = PlatformNode.beside(mTarget);
        mAppender.start();
        root().addAppender(mAppender);
    }

    @AfterEach
    void stop() throws Exception {
        root().detachAppender(mAppender);
        mNode.close();
        mTarget.close();
    }

    private static Logger root() {
        return (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Request-Id", "X-Instance-Load"})
    void shouldCutTheFieldInTheLog(final String field) throws Exception {
        mTarget.setScript(
                request -> {
                    request.write(
                            "HTTP/1.1 200 OK\r\n"
                                    + field
                                    + ": "
                                    + LONG_TEXT
                                    + "\r\nX-Request-Id: "
                                    + request.id()
                                    + "\r\n"
                                    + PlatformTarget.SIGNATURE
                                    + "Content-Length: 0\r\n\r\n");
                    request.answer("own");
                });
        mNode.exchange(PlatformNode.request("GET", "/safe/1", "a"));
        assertThat(mLengths).isNotEmpty().allMatch(length -> length < MAX_LINE_CHARS);
    }
}
