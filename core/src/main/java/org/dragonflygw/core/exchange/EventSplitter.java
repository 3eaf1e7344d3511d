package org.dragonflygw.core.exchange;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events. A stream that breaks off in the middle of an event can
 * then be resumed at another endpoint after the last complete one.
 */
final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 262_144;
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final EventBoundary boundary = new EventBoundary();

    /** Appends bytes and returns the events that these bytes complete, in order. */
    List<StreamEvent> append(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte b : bytes) {
            pending.write(b);
            if (boundary.endsEvent(b)) {
                events.add(removeEvent());
            }
        }
        return events;
    }

    /** Whether the incomplete event is longer than an event may be. */
    boolean exceedsMaxEventSize() {
        return pending.size() > MAX_EVENT_BYTES;
    }

    /** Removes and returns the bytes after the last complete event, once no more bytes follow. */
    byte[] drain() {
        byte[] remainder = pending.toByteArray();
        pending.reset();
        return remainder;
    }

    private StreamEvent removeEvent() {
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
