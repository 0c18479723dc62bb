package io.bilberrylane.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** What one run showed, as text, JSON and a picture. */
public final class LoadReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double[] QUANTILES = {50, 90, 99, 99.9};
    private static final int SHOWN_VIOLATIONS = 10;

    private final LoadSettings mSettings;
    private final RunLog mLog;
    private final long mPlanned;
    private final long mUnanswered;
    private final int mRecords;
    private final List<Violation> mViolations;

    LoadReport(
            final LoadSettings settings,
            final RunLog log,
            final long planned,
            final long unanswered,
            final int records,
            final List<Violation> violations) {
        mSettings = settings;
        mLog = log;
        mPlanned = planned;
        mUnanswered = unanswered;
        mRecords = records;
        mViolations = violations;
    }

    /**
     * Returns the broken promises.
     *
     * @return an empty list when there are none
     */
    public List<Violation> violations() {
        return List.copyOf(mViolations);
    }

    /**
     * Returns whether every call was answered and no promise broken.
     *
     * @return false on any violation or unanswered call
     */
    public boolean isClean() {
        return mViolations.isEmpty() && mUnanswered == 0;
    }

    // -- text

    /**
     * Returns one screen of text.
     *
     * @return lines
     */
    public String text() {
        final StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "sent %d calls at %.0f/s in %.0f s; latency in ms from the due time%n",
                        mPlanned,
                        mSettings.callsPerSecond(),
                        mSettings.seconds()));
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-14s %9s %9s %9s %9s %9s%n",
                        "",
                        "count",
                        "p50",
                        "p90",
                        "p99",
                        "p99.9"));
        for (final Operation.Kind kind : Operation.Kind.values()) {
            line(text, kind.name().toLowerCase(Locale.ROOT), mLog.latency(kind));
        }
        line(text, "refused", mLog.refusalLatency());
        if (!mSettings.versus().isEmpty()) {
            line(text, "versus", mLog.versusLatency());
            ratio(text);
        }
        mLog.ends().forEach((end, count) -> text.append("  " + end + ": " + count + "\n"));
        text.append(
                "violations: "
                        + mViolations.size()
                        + ", unanswered: "
                        + mUnanswered
                        + ", target records held against answers: "
                        + mRecords
                        + " of "
                        + mSettings.controls().size()
                        + "\n");
        byCode().forEach((code, count) -> text.append("  " + code + ": " + count + "\n"));
        mViolations.stream()
                .limit(SHOWN_VIOLATIONS)
                .forEach(v -> text.append("    " + v.code() + ": " + v.detail() + "\n"));
        return text.toString();
    }

    private static void line(
            final StringBuilder text, final String name, final Histogram histogram) {
        if (histogram.getTotalCount() == 0) {
            return;
        }
        text.append(String.format(Locale.ROOT, "%-14s %9d", name, histogram.getTotalCount()));
        for (final double quantile : QUANTILES) {
            text.append(String.format(Locale.ROOT, " %9.3f", millis(histogram, quantile)));
        }
        text.append('\n');
    }

    private void ratio(final StringBuilder text) {
        final Histogram ours = mLog.latency(Operation.Kind.LOOKUP);
        for (final double quantile : QUANTILES) {
            final double through = millis(ours, quantile);
            final double direct = millis(mLog.versusLatency(), quantile);
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  p%s: %.3f ms added, ratio %.2f%n",
                            quantile,
                            through - direct,
                            through / direct));
        }
    }

    private static double millis(final Histogram histogram, final double quantile) {
        return histogram.getValueAtPercentile(quantile) / 1e6;
    }

    private Map<String, Long> byCode() {
        return mViolations.stream()
                .collect(Collectors.groupingBy(Violation::code, Collectors.counting()));
    }

    // -- JSON

    /**
     * Returns the figures as JSON.
     *
     * @return a document
     */
    public String json() {
        final ObjectNode root = MAPPER.createObjectNode();
        root.put("planned", mPlanned);
        root.put("unanswered", mUnanswered);
        root.put("callsPerSecond", mSettings.callsPerSecond());
        root.put("seconds", mSettings.seconds());
        final ObjectNode latency = root.putObject("latencyMillis");
        for (final Operation.Kind kind : Operation.Kind.values()) {
            quantiles(latency, kind.name().toLowerCase(Locale.ROOT), mLog.latency(kind));
        }
        quantiles(latency, "refused", mLog.refusalLatency());
        quantiles(latency, "versus", mLog.versusLatency());
        final ObjectNode ends = root.putObject("ends");
        mLog.ends().forEach(ends::put);
        final ArrayNode violations = root.putArray("violations");
        mViolations.forEach(
                v -> violations.addObject().put("code", v.code()).put("detail", v.detail()));
        return root.toPrettyString();
    }

    private static void quantiles(
            final ObjectNode parent, final String name, final Histogram histogram) {
        if (histogram.getTotalCount() == 0) {
            return;
        }
        final ObjectNode node = parent.putObject(name);
        node.put("count", histogram.getTotalCount());
        for (final double quantile : QUANTILES) {
            node.put("p" + quantile, millis(histogram, quantile));
        }
    }

    // -- picture

    /**
     * Returns latency over quantiles as SVG.
     *
     * @return a picture
     */
    public String svg() {
        return LatencyPicture.of(
                Map.of(
                        "lookup", mLog.latency(Operation.Kind.LOOKUP),
                        "registration", mLog.latency(Operation.Kind.REGISTRATION),
                        "upload", mLog.latency(Operation.Kind.UPLOAD),
                        "versus", mLog.versusLatency()));
    }
}
