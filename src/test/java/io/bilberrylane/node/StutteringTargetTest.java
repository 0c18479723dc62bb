package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A target under load answers twice, wholly or in part, at once, late, or when the next request has
 * come. Some callers send an identity again. Each answer with a signature must be that of the run
 * of this very request, with the status and the body of that run.
 */
final class StutteringTargetTest {
    private static final long SEED = 29;
    private static final int CALLERS = 4;
    private static final int REQUESTS_PER_CALLER = 100;
    private static final int MAX_LATE_MILLIS = 15;
    private static final int MAX_WORK_MILLIS = 6;
    private static final double SECOND_ANSWERS = 0.3;
    private static final double FAILURES = 0.3;
    private static final double REPEATS = 0.3;

    /** What a target writes a second time. */
    private enum Copy {
        NONE,
        WHOLE,
        WITHOUT_IDENTITY,
        PIECE
    }

    /** What the target did with one request. */
    private record Run(String exchange, int status, String body) {}

    private final Map<String, Run> mRuns = new ConcurrentHashMap<>();
    private final Map<Socket, String> mCopies = new ConcurrentHashMap<>();
    private final AtomicInteger mRunCount = new AtomicInteger();
    private final AtomicInteger mExchangeCount = new AtomicInteger();
    private final List<String> mWrong = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger mSigned = new AtomicInteger();
    private Copy mCopy = Copy.NONE;
    private PlatformTarget mTarget;
    private PlatformNode mNode;

    @BeforeEach
    void start() throws Exception {
        mTarget = PlatformTarget.start(this::run);
        mNode = PlatformNode.beside(mTarget);
    }

    @AfterEach
    void stop() throws Exception {
        mNode.close();
        mTarget.close();
    }

    // -- target

    private void run(final PlatformTarget.Request request)
            throws IOException, InterruptedException {
        request.body();
        final String copy = mCopies.remove(request.socket());
        if (copy != null) {
            write(request, copy);
        }
        final int number = mRunCount.incrementAndGet();
        final Random random = new Random(SEED + number);
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_WORK_MILLIS));
        final int status = random.nextDouble() < FAILURES ? 500 : 200;
        final String body = "run " + number + " of " + request.id() + ' ' + "x".repeat(number % 9);
        mRuns.put(String.valueOf(number), new Run(request.field("X-Exchange"), status, body));
        final String answer = answer(number, status, "X-Request-Id: " + request.id(), body);
        if (mCopy == Copy.NONE || random.nextDouble() >= SECOND_ANSWERS) {
            write(request, answer);
            return;
        }
        final String second =
                switch (mCopy) {
                    case PIECE -> answer.substring(0, 1 + random.nextInt(answer.length() - 1));
                    case WITHOUT_IDENTITY -> answer(number, status, "X-Other: none", body);
                    default -> answer;
                };
        switch (random.nextInt(3)) {
            case 0 -> write(request, answer + second);
            case 1 -> {
                write(request, answer);
                writeLate(request, second, random.nextInt(MAX_LATE_MILLIS));
            }
            default -> {
                mCopies.put(request.socket(), second);
                write(request, answer);
            }
        }
    }

    private static String answer(
            final int number, final int status, final String identity, final String body) {
        return "HTTP/1.1 "
                + status
                + (status == 200 ? " OK" : " Internal Server Error")
                + "\r\nContent-Type: text/plain\r\nServer: target\r\n"
                + identity
                + "\r\nX-Response-Signature: "
                + number
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static void write(final PlatformTarget.Request request, final String text)
            throws IOException {
        synchronized (request.socket()) {
            request.write(text);
        }
    }

    private static void writeLate(
            final PlatformTarget.Request request, final String text, final long delayMillis) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                TimeUnit.MILLISECONDS.sleep(delayMillis);
                                write(request, text);
                            } catch (IOException e) {
                                // The node has closed the connection, as it may.
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
    }

    // -- callers

    private Void call(final int caller) throws IOException {
        final Random random = new Random(SEED * CALLERS + caller);
        String id = "";
        for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
            id = i > 0 && random.nextDouble() < REPEATS ? id : caller + "-" + i;
            final String exchange = String.valueOf(mExchangeCount.incrementAndGet());
            final String request =
                    PlatformNode.request("POST", "/unsafe/a", id)
                            .replace("\r\n\r\n", "\r\nX-Exchange: " + exchange + "\r\n\r\n");
            check(id, exchange, mNode.exchange(request));
        }
        return null;
    }

    private void check(final String id, final String exchange, final String answer) {
        final int end = answer.indexOf("\r\n\r\n");
        final String signature = field(answer, "X-Response-Signature: ");
        if (end < 0 || signature.isEmpty()) {
            if (answer.startsWith("HTTP/1.1 2") || answer.isEmpty()) {
                mWrong.add(id + ": " + answer);
            }
            return;
        }
        mSigned.incrementAndGet();
        final Run run = mRuns.get(signature);
        final boolean isOwn =
                run != null
                        && run.exchange().equals(exchange)
                        && answer.startsWith("HTTP/1.1 " + run.status() + " ")
                        && answer.substring(end + 4).equals(run.body());
        if (!isOwn) {
            mWrong.add(id + " in exchange " + exchange + ", " + run + ": " + answer);
        }
    }

    private static String field(final String answer, final String name) {
        final int start = answer.indexOf(name);
        return start < 0
                ? ""
                : answer.substring(start + name.length(), answer.indexOf("\r\n", start));
    }

    // Guards against: a caller gets a success where its target answered with a failure, or another
    // run's answer, because a second answer or a piece of one is taken for the awaited one.
    @ParameterizedTest
    @EnumSource(Copy.class)
    void shouldForwardOnlyTheAnswerOfTheRequestsOwnRun(final Copy copy) throws Exception {
        mCopy = copy;
        final List<Callable<Void>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            final int caller = i;
            callers.add(() -> call(caller));
        }
        try (ExecutorService threads = Executors.newFixedThreadPool(CALLERS)) {
            for (final Future<Void> end : threads.invokeAll(callers)) {
                end.get();
            }
        }
        assertThat(mWrong).isEmpty();
        assertThat(mRuns.values().stream().map(Run::exchange)).doesNotHaveDuplicates();
        assertThat(mSigned.get()).isGreaterThan(CALLERS * REQUESTS_PER_CALLER / 2);
    }
}
