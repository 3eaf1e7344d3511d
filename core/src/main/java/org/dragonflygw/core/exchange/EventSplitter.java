package org.dragonflygw.core.exchange;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events into whole events, so that a stream which breaks in the middle of an event can go
 * on at another endpoint after the last whole one.
 */
final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 262_144;
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int lineLength;

    /** Takes bytes and returns the events that are now whole. */
    List<StreamEvent> append(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte b : bytes) {
            pending.write(b);
            if (b == '\n') {
                if (lineLength == 0) {
                    events.add(cut());
                }
                lineLength = 0;
            } else if (b != '\r') {
                lineLength++;
            }
        }
        return events;
    }

    /** Whether more is held than an event may have. */
    boolean exceedsMaxEventSize() {
        return pending.size() > MAX_EVENT_BYTES;
    }

    /** Bytes after the last whole event. */
    byte[] drain() {
        byte[] rest = pending.toByteArray();
        pending.reset();
        lineLength = 0;
        return rest;
    }

    private StreamEvent cut() {
        byte[] bytes = pending.toByteArray();
        pending.reset();
        return new StreamEvent(bytes, idOf(bytes));
    }

    private static Optional<String> idOf(byte[] event) {
        for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                return Optional.of(line.substring(ID_FIELD.length()).strip());
            }
        }
        return Optional.empty();
    }
}
