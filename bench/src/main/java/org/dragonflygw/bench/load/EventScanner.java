package org.dragonflygw.bench.load;

import java.nio.ByteBuffer;

/** Counts whole server-sent events in bytes that come in any pieces, without keeping them. */
final class EventScanner {
    private static final byte[] TOKEN = {'i', 'd', ':'};
    private static final byte[] DONE = "data: [DONE]".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

    private int lineLength;
    private boolean tokenLine = true;
    private boolean doneLine = true;
    private boolean tokenEvent;
    private boolean done;

    /** Takes bytes; returns the number of token events that ended in them. */
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

    /** Whether the end marker of the stream came. */
    boolean done() {
        return done;
    }

    private void matchLine(byte next) {
        tokenLine &= lineLength >= TOKEN.length || TOKEN[lineLength] == next;
        doneLine &= lineLength < DONE.length && DONE[lineLength] == next;
        lineLength++;
    }

    private int endLine() {
        int ended = 0;
        if (lineLength == 0) {
            ended = tokenEvent ? 1 : 0;
            tokenEvent = false;
        } else {
            tokenEvent |= tokenLine && lineLength > TOKEN.length;
            done |= doneLine && lineLength == DONE.length;
        }
        lineLength = 0;
        tokenLine = true;
        doneLine = true;
        return ended;
    }
}
