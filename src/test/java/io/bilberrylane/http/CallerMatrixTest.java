package io.bilberrylane.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.peer.Refusal;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Every way in which an exchange on a kept connection can go, with two requests on it. The caller
 * gets a whole answer to each request, unless the connection ends visibly: the response broke off
 * after its head, or an answer announced the close. No request on a kept connection ends with a
 * bare close.
 */
final class CallerMatrixTest {
    private static final int BODY_BYTES = 40;
    private static final int PAUSE_MILLIS = 3;

    private enum Framing {
        NO_BODY,
        LENGTH,
        CHUNKED
    }

    private enum Event {
        WHOLE,
        REFUSED,
        FAILED_BEFORE_THE_BODY,
        FAILED_BEFORE_THE_HEAD,
        BROKEN_AFTER_THE_HEAD,
        LEAVING_BEFORE_THE_HEAD,
        LEAVING_AFTER_THE_HEAD
    }

    private record Cell(Framing framing, Event event, boolean pipelined, int cut) {}

    private record Answer(int status, String head, boolean isComplete) {
        boolean announcesClose() {
            return head.toLowerCase(Locale.ROOT).contains("connection: close");
        }
    }

    private static List<Cell> cells() {
        final List<Cell> cells = new ArrayList<>();
        for (final Framing framing : Framing.values()) {
            final int length = request(framing).length();
            for (final Event event : Event.values()) {
                for (final int cut : new int[] {0, 1, length / 2, length - 1}) {
                    cells.add(new Cell(framing, event, false, cut));
                    cells.add(new Cell(framing, event, true, cut));
                }
            }
        }
        return cells;
    }

    private static String request(final Framing framing) {
        final String start = framing == Framing.NO_BODY ? "GET" : "POST";
        final String head = start + " / HTTP/1.1\r\nHost: s\r\n";
        return switch (framing) {
            case NO_BODY -> head + "\r\n";
            case LENGTH -> head + "Content-Length: 6\r\n\r\nabcdef";
            case CHUNKED ->
                    head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n";
        };
    }

    // Guards against: a request on a kept connection that ends without an answer.
    @Test
    void shouldAnswerEachRequestOrEndTheConnectionVisibly() throws Exception {
        final List<String> faults = new ArrayList<>();
        for (final Cell cell : cells()) {
            try (ScriptedCalls calls = new ScriptedCalls();
                    Socket caller = calls.connect()) {
                play(calls, caller, cell);
            } catch (AssertionError | IOException e) {
                faults.add(cell + ": " + e.getMessage());
            }
        }
        assertThat(faults).isEmpty();
    }

    private static void play(final ScriptedCalls calls, final Socket caller, final Cell cell)
            throws Exception {
        final String first = request(cell.framing());
        write(caller, first.substring(0, cell.cut()));
        TimeUnit.MILLISECONDS.sleep(cell.cut() == 0 ? 0 : PAUSE_MILLIS);
        write(caller, first.substring(cell.cut()) + (cell.pipelined() ? first : ""));
        respond(calls, calls.nextCall(), cell);
        final Answer answer = read(caller.getInputStream());
        if (cell.event() == Event.BROKEN_AFTER_THE_HEAD) {
            assertThat(answer.isComplete()).isFalse();
            return;
        }
        assertThat(answer.isComplete()).as("first answer is whole").isTrue();
        assertThat(answer.status()).isEqualTo(expectedStatus(cell.event()));
        if (answer.announcesClose() || cell.event() == Event.LEAVING_AFTER_THE_HEAD) {
            assertThat(caller.getInputStream().read())
                    .as("end after the last answer")
                    .isEqualTo(-1);
            return;
        }
        if (!cell.pipelined()) {
            write(caller, first);
        }
        respondWhole(calls.nextCall());
        final Answer second = read(caller.getInputStream());
        assertThat(second.isComplete()).as("second answer is whole").isTrue();
        assertThat(second.status()).isEqualTo(200);
    }

    private static int expectedStatus(final Event event) {
        return switch (event) {
            case WHOLE, LEAVING_BEFORE_THE_HEAD, LEAVING_AFTER_THE_HEAD -> 200;
            case REFUSED -> 503;
            default -> 502;
        };
    }

    private static void respond(
            final ScriptedCalls calls, final ScriptedCalls.Call call, final Cell cell)
            throws Exception {
        switch (cell.event()) {
            case WHOLE -> respondWhole(call);
            case REFUSED -> call.refuse(Refusal.of(ErrorCode.OVERLOADED));
            case FAILED_BEFORE_THE_BODY -> call.breakResponse();
            case FAILED_BEFORE_THE_HEAD -> {
                call.admitAndAwaitRequest();
                call.breakResponse();
            }
            case BROKEN_AFTER_THE_HEAD -> {
                call.admitAndAwaitRequest();
                call.respondWithHead(BODY_BYTES);
                call.respondWithBody(BODY_BYTES / 2);
                call.breakResponse();
            }
            case LEAVING_BEFORE_THE_HEAD -> {
                call.admitAndAwaitRequest();
                calls.server().leave();
                respondWhole(call);
            }
            case LEAVING_AFTER_THE_HEAD -> {
                call.admitAndAwaitRequest();
                call.respondWithHead(BODY_BYTES);
                call.respondWithBody(BODY_BYTES / 2);
                calls.awaitEvents();
                calls.server().leave();
                call.respondWithBody(BODY_BYTES / 2);
                call.endResponse();
            }
        }
    }

    private static void respondWhole(final ScriptedCalls.Call call) throws Exception {
        call.admitAndAwaitRequest();
        call.respondWithHead(BODY_BYTES);
        call.respondWithBody(BODY_BYTES);
        call.endResponse();
    }

    // -- caller

    private static void write(final Socket caller, final String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static Answer read(final InputStream in) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int next = in.read();
            if (next < 0) {
                return new Answer(0, head.toString(), false);
            }
            head.append((char) next);
        }
        final String text = head.toString();
        final int length =
                Integer.parseInt(
                        text.replaceFirst("(?is).*\r\ncontent-length: (\\d+)\r\n.*", "$1"));
        final int status = Integer.parseInt(text.substring(9, 12));
        return new Answer(status, text, in.readNBytes(length).length == length);
    }
}
