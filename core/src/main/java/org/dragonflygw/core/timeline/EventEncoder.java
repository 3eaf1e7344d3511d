package org.dragonflygw.core.timeline;

import java.nio.charset.StandardCharsets;

/**
 * Writes an event as bytes. Layout: clock reading (8 bytes), type (1 byte), a mask of the texts that are not empty
 * (1 byte), then each of those as its length (1 byte) and its UTF-8 bytes.
 */
final class EventEncoder {
    /** Length of the part before the texts, in bytes. */
    static final int HEADER_BYTES = 10;

    /** Greatest length of one text, in bytes; longer ones are cut. */
    static final int MAX_TEXT_BYTES = 255;

    /** Number of texts of an event. */
    static final int TEXT_COUNT = 7;

    /** Greatest length of an encoded event, in bytes. */
    static final int MAX_EVENT_BYTES = HEADER_BYTES + TEXT_COUNT * (MAX_TEXT_BYTES + 1);

    private EventEncoder() {}

    /**
     * Writes the event at the start of {@code target} and returns its length. The encoded form never leaves the
     * process, so the ordinal of the type is stable for as long as it is kept.
     */
    @SuppressWarnings("EnumOrdinal")
    static int encode(long packedAt, EventType type, EventSubject subject, String detail, byte[] target) {
        for (int i = 0; i < Long.BYTES; i++) {
            target[i] = (byte) (packedAt >>> (8 * i));
        }
        target[8] = (byte) type.ordinal();
        int mask = 0;
        int end = HEADER_BYTES;
        for (int i = 0; i < TEXT_COUNT; i++) {
            String text = text(i, subject, detail);
            if (!text.isEmpty()) {
                mask |= 1 << i;
                end = append(text, target, end);
            }
        }
        target[9] = (byte) mask;
        return end;
    }

    private static String text(int index, EventSubject subject, String detail) {
        return switch (index) {
            case 0 -> subject.requestId();
            case 1 -> subject.chatId();
            case 2 -> subject.endpointId();
            case 3 -> subject.team();
            case 4 -> subject.key();
            case 5 -> subject.lease();
            default -> detail;
        };
    }

    private static int append(String text, byte[] target, int start) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = bytes.length <= MAX_TEXT_BYTES ? bytes.length : characterBoundary(bytes);
        target[start] = (byte) length;
        System.arraycopy(bytes, 0, target, start + 1, length);
        return start + 1 + length;
    }

    private static int characterBoundary(byte[] bytes) {
        int length = MAX_TEXT_BYTES;
        while (length > 0 && (bytes[length] & 0xC0) == 0x80) {
            length--;
        }
        return length;
    }
}
