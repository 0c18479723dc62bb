package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A target writes an earlier response a second time, but only its beginning, and then answers the
 * next request on the connection.
 */
final class CutSecondResponseTest {
    private static final long PAUSE_MILLIS = 3;
    private static final int DEADLINE_MILLIS = 500;

    private enum Moment {
        WITH_THE_FIRST,
        WHILE_IDLE,
        DURING_THE_NEXT
    }

    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget = PlatformTarget.start(request -> request.answer("warm"));
        mNode = PlatformNode.beside(mTarget);
    }

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mTarget.close();
    }

    private static String response(final int status, final String id, final String body) {
        return "HTTP/1.1 "
                + status
                + " Reason\r\nContent-Type: text/plain\r\nServer: desk\r\nX-Request-Id: "
                + id
                + "\r\n"
                + PlatformTarget.SIGNATURE
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String firstId(final Moment moment, final int cut) {
        return "first-" + moment.ordinal() + "-" + cut;
    }

    /** Answers a request; the beginning of the earlier response comes a second time. */
    private void play(final Moment moment, final int firstStatus, final int status, final int cut) {
        final String firstId = firstId(moment, cut);
        final String first = response(firstStatus, firstId, "one");
        final String rest = first.substring(0, cut);
        mTarget.setScript(
                request -> {
                    if (request.id().equals(firstId)) {
                        if (moment == Moment.WITH_THE_FIRST) {
                            request.write(first + rest);
                        } else {
                            request.write(first);
                        }
                        if (moment == Moment.WHILE_IDLE) {
                            Thread.sleep(PAUSE_MILLIS);
                            request.write(rest);
                        }
                        return;
                    }
                    if (moment == Moment.DURING_THE_NEXT && request.numberOnConnection() > 1) {
                        request.write(rest);
                        Thread.sleep(1);
                    }
                    request.write(response(status, request.id(), "two"));
                });
    }

    /**
     * Returns the cuts after which the caller got anything but its own answer or, where bytes can't
     * be told from its answer, a failure of the node.
     */
    private List<String> wrongAnswers(final int firstStatus, final int status) throws Exception {
        final List<String> wrong = new ArrayList<>();
        mTarget.setScript(request -> request.answer("warm"));
        Fleet.await(() -> call("warm-up").contains("warm"));
        final int headLength = response(firstStatus, "first-0-0", "").length();
        for (final Moment moment : Moment.values()) {
            for (int cut = 1; cut < headLength; cut++) {
                play(moment, firstStatus, status, cut);
                call(firstId(moment, cut));
                if (moment == Moment.WHILE_IDLE) {
                    Thread.sleep(2 * PAUSE_MILLIS);
                }
                final String answer = call("next-" + moment.ordinal() + "-" + cut);
                final boolean isOwn = answer.startsWith("HTTP/1.1 " + status);
                final boolean isVisibleFailure =
                        moment != Moment.WITH_THE_FIRST
                                && answer.startsWith("HTTP/1.1 5")
                                && !answer.contains(PlatformTarget.SIGNATURE);
                if (!isOwn && !isVisibleFailure) {
                    wrong.add(moment + " " + cut + ": " + answer.lines().findFirst().orElse(""));
                }
            }
        }
        return wrong;
    }

    private String call(final String id) {
        try {
            return mNode.exchange(
                    PlatformNode.request("GET", "/safe/a", id)
                            .replace("Deadline-Ms: 4000", "Deadline-Ms: " + DEADLINE_MILLIS));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Guards against: the beginning of an earlier success and the head of a failure are taken for
    // one head, and the caller gets a success for a request that its target failed.
    @Test
    void shouldNeverGiveASuccessForAFailure() throws Exception {
        assertThat(wrongAnswers(200, 500)).isEmpty();
    }

    // Guards against: the same the other way round, a failure for a request that was answered.
    @Test
    void shouldNeverGiveAFailureOfAnotherRequest() throws Exception {
        assertThat(wrongAnswers(500, 200)).isEmpty();
    }
}
