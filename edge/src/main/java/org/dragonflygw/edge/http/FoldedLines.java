package org.dragonflygw.edge.http;

import io.netty.buffer.ByteBuf;

/** Finds lines of a head that begin with a blank or a tab, and so continue the value of the field before them. */
final class FoldedLines {
    private static final byte LINE_FEED = '\n';

    /** Whether the bytes so far end with a line feed. */
    private boolean atLineStart;

    private boolean found;

    /** Looks at the bytes between two indexes, which follow those of the last call. */
    void check(ByteBuf bytes, int from, int to) {
        int line = from;
        while (line < to) {
            found |= atLineStart && isBlank(bytes.getByte(line));
            int end = bytes.indexOf(line, to, LINE_FEED);
            atLineStart = end >= 0;
            line = atLineStart ? end + 1 : to;
        }
    }

    private static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }

    /** Whether there was such a line since the beginning of the head. */
    boolean found() {
        return found;
    }

    /** Begins the next head. */
    void reset() {
        atLineStart = false;
        found = false;
    }
}
