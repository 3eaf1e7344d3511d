package org.dragonflygw.core.timeline;

import java.nio.charset.StandardCharsets;

/**
 * Encodes an event as bytes. Layout: packed clock reading (8 bytes, little-endian), ordinal of the type (1 byte), bit
 * mask of the texts that are not empty (1 byte), then each of these texts as its length (1 byte) and its UTF-8 bytes.
 */
final class EventEncoder {
    /** Length of the header before the texts, in bytes. */
    static final int HEADER_BYTES = 10;

    /** Maximum length of one text, in bytes; longer texts are truncated. */
    static final int MAX_TEXT_BYTES = 255;

    /** Number of texts of an event: the six parts of the subject and the detail. */
    static final int TEXT_COUNT = 7;

    /** Maximum length of an encoded event, in bytes. */
    static final int MAX_EVENT_BYTES = HEADER_BYTES + TEXT_COUNT * (MAX_TEXT_BYTES + 1);

    private EventEncoder() {}

    /**
     * Encodes the event at the start of {@code target}. The encoded form never leaves the process, so the ordinal of
     * the type is stable while the form is in use.
     *
     * @param packedTimestamp clock reading in the form of {@link HybridClock#nowPacked}
     * @param target at least {@link #MAX_EVENT_BYTES} long
     * @return length of the encoded event, in bytes
     */
    @SuppressWarnings("EnumOrdinal")
    static int encode(long packedTimestamp, EventType type, EventSubject subject, String detail, byte[] target) {
        for (int i = 0; i < Long.BYTES; i++) {
            target[i] = (byte) (packedTimestamp >>> (8 * i));
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
        int length = bytes.length <= MAX_TEXT_BYTES ? bytes.length : truncatedLength(bytes);
        target[start] = (byte) length;
        System.arraycopy(bytes, 0, target, start + 1, length);
        return start + 1 + length;
    }

    /** Length of the longest prefix of whole UTF-8 characters within {@link #MAX_TEXT_BYTES}. */
    private static int truncatedLength(byte[] bytes) {
        int length = MAX_TEXT_BYTES;
        while (length > 0 && (bytes[length] & 0xC0) == 0x80) {
            length--;
        }
        return length;
    }
}
