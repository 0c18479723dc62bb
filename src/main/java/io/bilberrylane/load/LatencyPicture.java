package io.bilberrylane.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Draws latency over the number of nines. */
final class LatencyPicture {
    private static final int WIDTH = 720;
    private static final int HEIGHT = 420;
    private static final int MARGIN = 60;
    private static final int POINTS = 80;
    private static final double MOST_NINES = 4;
    private static final double LEAST_MILLIS = 0.1;
    private static final double MOST_MILLIS = 10_000;
    private static final String[] COLOURS = {"#1b6ca8", "#c0392b", "#27ae60", "#8e44ad"};

    private LatencyPicture() {}

    static String of(final Map<String, Histogram> histograms) {
        final StringBuilder svg = new StringBuilder();
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\""
                                + " font-family=\"sans-serif\" font-size=\"12\">%n"
                                + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                        WIDTH,
                        HEIGHT));
        axes(svg);
        int index = 0;
        for (final Map.Entry<String, Histogram> entry : new TreeMap<>(histograms).entrySet()) {
            if (entry.getValue().getTotalCount() > 0) {
                curve(svg, entry.getKey(), entry.getValue(), index++);
            }
        }
        return svg.append("</svg>\n").toString();
    }

    private static void axes(final StringBuilder svg) {
        for (double millis = LEAST_MILLIS; millis <= MOST_MILLIS; millis *= 10) {
            line(svg, MARGIN, y(millis), WIDTH - MARGIN, y(millis));
            text(svg, 8, y(millis) + 4, millis < 1 ? "0.1 ms" : Math.round(millis) + " ms");
        }
        final String[] names = {"p0", "p90", "p99", "p99.9", "p99.99"};
        for (int nines = 0; nines < names.length; nines++) {
            line(svg, x(nines), MARGIN, x(nines), HEIGHT - MARGIN);
            text(svg, x(nines) - 14, HEIGHT - MARGIN + 18, names[nines]);
        }
    }

    private static void curve(
            final StringBuilder svg,
            final String name,
            final Histogram histogram,
            final int index) {
        final StringBuilder points = new StringBuilder();
        for (int i = 0; i <= POINTS; i++) {
            final double nines = MOST_NINES * i / POINTS;
            final double quantile = 100 * (1 - Math.pow(10, -nines));
            final double millis = histogram.getValueAtPercentile(quantile) / 1e6;
            points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(nines), y(millis)));
        }
        final String colour = COLOURS[index % COLOURS.length];
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\""
                                + " points=\"%s\"/>%n",
                        colour,
                        points));
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>%n",
                        MARGIN + 10,
                        MARGIN + 16 * index - 20,
                        colour,
                        name));
    }

    private static double x(final double nines) {
        return MARGIN + nines / MOST_NINES * (WIDTH - 2.0 * MARGIN);
    }

    private static double y(final double millis) {
        final double bounded = Math.max(LEAST_MILLIS, Math.min(MOST_MILLIS, millis));
        final double share =
                Math.log10(bounded / LEAST_MILLIS) / Math.log10(MOST_MILLIS / LEAST_MILLIS);
        return HEIGHT - MARGIN - share * (HEIGHT - 2.0 * MARGIN);
    }

    private static void line(
            final StringBuilder svg,
            final double x1,
            final double y1,
            final double x2,
            final double y2) {
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\""
                                + " stroke=\"#ddd\"/>%n",
                        x1,
                        y1,
                        x2,
                        y2));
    }

    private static void text(
            final StringBuilder svg, final double x, final double y, final String content) {
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<text x=\"%.1f\" y=\"%.1f\" fill=\"#333\">%s</text>%n",
                        x,
                        y,
                        content));
    }
}
