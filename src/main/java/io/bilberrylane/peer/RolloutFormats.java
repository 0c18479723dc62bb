package io.bilberrylane.peer;

import com.google.common.primitives.ImmutableLongArray;
import io.bilberrylane.policy.RolloutPhase;
import io.bilberrylane.policy.RolloutRow;
import io.bilberrylane.policy.RolloutSummary;
import io.bilberrylane.policy.RouteCounts;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;

/** The wire formats of what nodes tell each other about roll-outs. */
final class RolloutFormats {
    private RolloutFormats() {}

    static void writeSummary(final RolloutSummary summary, final MessageBufferPacker packer)
            throws IOException {
        packer.packArrayHeader(7)
                .packString(summary.service())
                .packString(summary.version())
                .packLong(summary.generation())
                .packInt(summary.phase().ordinal())
                .packLong(summary.ageMillis())
                .packBoolean(summary.known())
                .packString(summary.reason());
    }

    static RolloutSummary readSummary(final Value value) {
        final ArrayValue parts = value.asArrayValue();
        final RolloutPhase[] phases = RolloutPhase.values();
        return new RolloutSummary(
                text(parts, 0),
                text(parts, 1),
                integer(parts, 2),
                phases[(int) Math.min(phases.length - 1, Math.max(0, integer(parts, 3)))],
                integer(parts, 4),
                parts.get(5).asBooleanValue().getBoolean(),
                text(parts, 6));
    }

    static void writeRow(final RolloutRow row, final MessageBufferPacker packer)
            throws IOException {
        packer.packArrayHeader(8)
                .packString(row.service())
                .packString(row.host())
                .packLong(row.nodeIncarnation())
                .packLong(row.targetIncarnation())
                .packString(row.version())
                .packLong(row.started())
                .packLong(row.drainedFor())
                .packArrayHeader(row.routes().size());
        for (final RouteCounts counts : row.routes()) {
            packer.packArrayHeader(4)
                    .packInt(counts.route())
                    .packLong(counts.ended())
                    .packLong(counts.failed());
            writeBins(counts.bins(), packer);
        }
    }

    /** Writes the first and the last bin with calls and what is between them. */
    private static void writeBins(final ImmutableLongArray bins, final MessageBufferPacker packer)
            throws IOException {
        int first = 0;
        int end = bins.length();
        while (end > 0 && bins.get(end - 1) == 0) {
            end--;
        }
        while (first < end && bins.get(first) == 0) {
            first++;
        }
        packer.packArrayHeader(1 + end - first).packInt(first);
        for (int bin = first; bin < end; bin++) {
            packer.packLong(bins.get(bin));
        }
    }

    static RolloutRow readRow(final Value value) {
        final ArrayValue parts = value.asArrayValue();
        final List<RouteCounts> routes = new ArrayList<>();
        for (final Value route : parts.get(7).asArrayValue()) {
            final ArrayValue counts = route.asArrayValue();
            routes.add(
                    new RouteCounts(
                            (int) integer(counts, 0),
                            integer(counts, 1),
                            integer(counts, 2),
                            readBins(counts.get(3).asArrayValue())));
        }
        return new RolloutRow(
                text(parts, 0),
                text(parts, 1),
                integer(parts, 2),
                integer(parts, 3),
                text(parts, 4),
                integer(parts, 5),
                integer(parts, 6),
                routes);
    }

    private static ImmutableLongArray readBins(final ArrayValue parts) {
        final long[] bins = new long[RouteCounts.BIN_COUNT];
        final int first = (int) integer(parts, 0);
        for (int i = 1; i < parts.size(); i++) {
            final int bin = first + i - 1;
            if (bin >= 0 && bin < bins.length) {
                bins[bin] = integer(parts, i);
            }
        }
        return ImmutableLongArray.copyOf(bins);
    }

    private static long integer(final ArrayValue parts, final int index) {
        return parts.get(index).asIntegerValue().toLong();
    }

    private static String text(final ArrayValue parts, final int index) {
        return ValueFormats.readText(parts.get(index));
    }
}
