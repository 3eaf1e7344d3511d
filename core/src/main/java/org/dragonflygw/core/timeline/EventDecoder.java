package org.dragonflygw.core.timeline;

import java.nio.charset.StandardCharsets;

/** Decodes a sequence of events that {@link EventEncoder} encoded. Not thread-safe. */
final class EventDecoder {
    private static final EventType[] TYPES = EventType.values();

    private final byte[] source;
    private final String daemonId;
    private int position;

    EventDecoder(byte[] source, String daemonId) {
        this.source = source;
        this.daemonId = daemonId;
    }

    boolean hasNext() {
        return position < source.length;
    }

    Event next() {
        long packedTimestamp = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            packedTimestamp |= (source[position + i] & 0xFFL) << (8 * i);
        }
        EventType type = TYPES[source[position + 8]];
        int mask = source[position + 9];
        position += EventEncoder.HEADER_BYTES;
        String[] texts = new String[EventEncoder.TEXT_COUNT];
        for (int i = 0; i < texts.length; i++) {
            texts[i] = (mask & (1 << i)) == 0 ? "" : readText();
        }
        EventSubject subject = new EventSubject(texts[0], texts[1], texts[2], texts[3], texts[4], texts[5]);
        return new Event(HybridClock.unpack(packedTimestamp), daemonId, type, subject, texts[6]);
    }

    private String readText() {
        int length = source[position] & 0xFF;
        String text = new String(source, position + 1, length, StandardCharsets.UTF_8);
        position += 1 + length;
        return text;
    }
}
