package io.bilberrylane.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** Finds the beginning of a status line in bytes, by Horspool's search: most bytes are skipped. */
final class StatusLineSearch {
    private static final byte[] PROTOCOL = {'H', 'T', 'T', 'P', '/', '1', '.'};
    private static final int LAST = PROTOCOL.length - 1;

    /** By how much the window may move when it ends with a byte. */
    private static final byte[] SHIFTS = shifts();

    private StatusLineSearch() {}

    private static byte[] shifts() {
        final byte[] shifts = new byte[1 << Byte.SIZE];
        Arrays.fill(shifts, (byte) PROTOCOL.length);
        for (int i = 0; i < LAST; i++) {
            shifts[PROTOCOL[i]] = (byte) (LAST - i);
        }
        return shifts;
    }

    /** Returns the number of bytes that tell a status line from other bytes. */
    static int length() {
        return PROTOCOL.length;
    }

    /**
     * Returns the position of the first {@code HTTP/1.}.
     *
     * @param bytes the bytes
     * @param from the first position
     * @param to the position after the last one
     * @return a position; negative if there is none
     */
    static int indexOf(final ByteBuf bytes, final int from, final int to) {
        int end = from + LAST;
        while (end < to) {
            final byte last = bytes.getByte(end);
            if (last == PROTOCOL[LAST] && isAt(bytes, end - LAST, LAST)) {
                return end - LAST;
            }
            end += SHIFTS[last & 0xff];
        }
        return -1;
    }

    /**
     * Returns how many of the last bytes can be the beginning of {@code HTTP/1.}.
     *
     * @param bytes the bytes
     * @param from the first position
     * @param to the position after the last one
     * @return a number of bytes, less than {@link #length()}
     */
    static int lengthOfPrefixAtEnd(final ByteBuf bytes, final int from, final int to) {
        for (int length = Math.min(LAST, to - from); length > 0; length--) {
            if (isAt(bytes, to - length, length)) {
                return length;
            }
        }
        return 0;
    }

    /** Returns whether the first bytes of {@code HTTP/1.} stand at a position. */
    static boolean isAt(final ByteBuf bytes, final int position, final int length) {
        for (int i = 0; i < length; i++) {
            if (bytes.getByte(position + i) != PROTOCOL[i]) {
                return false;
            }
        }
        return true;
    }
}
