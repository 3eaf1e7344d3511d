package org.dragonflygw.bench.load;

import java.nio.ByteBuffer;

/**
 * Counts complete server-sent events in a byte stream that arrives in chunks of any size, without buffering the bytes.
 * Not thread-safe.
 */
final class EventScanner {
    private static final byte[] TOKEN_FIELD = {'i', 'd', ':'};
    private static final byte[] DONE_LINE = "data: [DONE]".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

    private int lineLength;
    private boolean tokenLine = true;
    private boolean doneLine = true;
    private boolean tokenEvent;
    private boolean done;

    /** Consumes the bytes and returns the number of token events that they complete. */
    int scan(ByteBuffer bytes) {
        int tokens = 0;
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\r') {
                continue;
            }
            if (next != '\n') {
                matchLine(next);
                continue;
            }
            tokens += endLine();
        }
        return tokens;
    }

    /** Whether the end marker {@code data: [DONE]} was received. */
    boolean done() {
        return done;
    }

    private void matchLine(byte next) {
        tokenLine &= lineLength >= TOKEN_FIELD.length || TOKEN_FIELD[lineLength] == next;
        doneLine &= lineLength < DONE_LINE.length && DONE_LINE[lineLength] == next;
        lineLength++;
    }

    private int endLine() {
        int ended = 0;
        if (lineLength == 0) {
            ended = tokenEvent ? 1 : 0;
            tokenEvent = false;
        } else {
            tokenEvent |= tokenLine && lineLength > TOKEN_FIELD.length;
            done |= doneLine && lineLength == DONE_LINE.length;
        }
        lineLength = 0;
        tokenLine = true;
        doneLine = true;
        return ended;
    }
}
