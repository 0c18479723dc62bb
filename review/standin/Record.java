import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run in one play of a case, in order, written to record.txt. */
final class Record {
    /** One request that a worker began to work on. */
    record Run(String id, String worker, long millis, String body, String caller) {}

    /**
     * One final answer that a client got, with the name of its whole body; status 0 stands for a
     * connection that ended without a complete answer.
     */
    record Answer(String id, int status, boolean signed, long millis, String body) {}

    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mOut;
    private final List<Run> mRuns = new ArrayList<>();
    private final List<Answer> mAnswers = new ArrayList<>();

    Record(final Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    long millis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void log(final String format, final Object... arguments) {
        mOut.println(
                String.format(Locale.ROOT, "%8.3f ", millis() / 1_000.0)
                        + String.format(Locale.ROOT, format, arguments));
    }

    synchronized void run(
            final String id, final String worker, final String body, final String caller) {
        mRuns.add(new Run(id, worker, millis(), body, caller));
        log("RUN      %s at %s, body %s, caller %s", id, worker, body, caller);
    }

    synchronized void answer(
            final String id, final int status, final boolean signed, final String body) {
        mAnswers.add(new Answer(id, status, signed, millis(), body));
        log(
                "ANSWER   %s: %s",
                id,
                status == 0
                        ? "no complete answer"
                        : status + (signed ? ", signed" : ", unsigned") + ", body " + body);
    }

    synchronized List<Run> runs() {
        return List.copyOf(mRuns);
    }

    synchronized List<Answer> answers() {
        return List.copyOf(mAnswers);
    }
}
