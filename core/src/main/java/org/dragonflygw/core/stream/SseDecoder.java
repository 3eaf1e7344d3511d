package org.dragonflygw.core.stream;

import java.util.Arrays;
import java.util.Optional;

/**
 * Incremental decoder of server-sent events. Bytes may arrive in pieces of any size; lines end with LF or CRLF. Memory
 * use is bounded by the longest event. Not thread-safe.
 */
public final class SseDecoder {
    private static final int INITIAL_BYTES = 4096;
    private static final int MAX_SEQUENCE_DIGITS = 18; // always fits in a long
    private static final byte[] DATA = {'d', 'a', 't', 'a'};
    private static final byte[] ID = {'i', 'd'};
    private static final byte[] EVENT = {'e', 'v', 'e', 'n', 't'};

    private final int maxEventBytes;
    private byte[] buffer = new byte[INITIAL_BYTES];
    private int start;
    private int scanned;
    private int lineStart;
    private int end;

    /** Creates a decoder that rejects events longer than {@code maxEventBytes}. */
    public SseDecoder(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /** Appends bytes. Events that were returned before become invalid, since they refer to the buffer. */
    public void append(byte[] source, int offset, int length) {
        ensureCapacity(length);
        System.arraycopy(source, offset, buffer, end, length);
        end += length;
    }

    /**
     * Returns the next complete event, or empty if more bytes are needed.
     *
     * @throws StreamException if the event is too long or malformed; the decoder cannot be used afterwards
     */
    public Optional<SseEvent> next() {
        while (scanned < end) {
            if (buffer[scanned++] != '\n') {
                continue;
            }
            boolean blank = isBlank(lineStart, scanned - 1);
            lineStart = scanned;
            if (blank) {
                return Optional.of(nextEvent());
            }
        }
        if (end - start > maxEventBytes) {
            throw tooLarge();
        }
        return Optional.empty();
    }

    private SseEvent nextEvent() {
        int from = start;
        start = scanned;
        if (scanned - from > maxEventBytes) {
            throw tooLarge();
        }
        return parse(from, scanned);
    }

    private SseEvent parse(int from, int to) {
        long sequence = SseEvent.NO_SEQUENCE;
        int dataOffset = from;
        int dataLength = 0;
        boolean named = false;
        int line = from;
        while (line < to) {
            int lineEnd = endOfLine(line);
            int contentEnd = lineEnd > line && buffer[lineEnd - 1] == '\r' ? lineEnd - 1 : lineEnd;
            if (isField(DATA, line, contentEnd)) {
                if (dataLength > 0) {
                    throw new StreamException(StreamCode.MALFORMED_EVENT, "event has more than one data field");
                }
                dataOffset = valueStart(line + DATA.length, contentEnd);
                dataLength = contentEnd - dataOffset;
            } else if (isField(ID, line, contentEnd)) {
                sequence = parseSequence(valueStart(line + ID.length, contentEnd), contentEnd);
            } else if (isField(EVENT, line, contentEnd)) {
                named = true;
            }
            line = lineEnd + 1;
        }
        return new SseEvent(buffer, from, to - from, sequence, dataOffset, dataLength, named);
    }

    private int endOfLine(int from) {
        int i = from;
        while (buffer[i] != '\n') {
            i++;
        }
        return i;
    }

    private boolean isField(byte[] name, int from, int to) {
        int colon = from + name.length;
        return colon < to && buffer[colon] == ':' && Arrays.equals(buffer, from, colon, name, 0, name.length);
    }

    private int valueStart(int colon, int to) {
        return colon + 1 < to && buffer[colon + 1] == ' ' ? colon + 2 : colon + 1;
    }

    private long parseSequence(int from, int to) {
        if (from >= to || to - from > MAX_SEQUENCE_DIGITS) {
            throw new StreamException(StreamCode.MALFORMED_EVENT, "id field is not a token number");
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9) {
                throw new StreamException(StreamCode.MALFORMED_EVENT, "id field is not a token number");
            }
            value = value * 10 + digit;
        }
        return value;
    }

    private boolean isBlank(int from, int lineFeed) {
        return lineFeed == from || (lineFeed == from + 1 && buffer[from] == '\r');
    }

    private void ensureCapacity(int length) {
        if (buffer.length - end >= length) {
            return;
        }
        int used = end - start;
        byte[] target = buffer;
        if (buffer.length - used < length) {
            target = new byte[Math.max(buffer.length * 2, used + length)];
        }
        System.arraycopy(buffer, start, target, 0, used);
        buffer = target;
        scanned -= start;
        lineStart -= start;
        end = used;
        start = 0;
    }

    private StreamException tooLarge() {
        return new StreamException(StreamCode.EVENT_TOO_LARGE, "event is longer than " + maxEventBytes + " bytes");
    }
}
