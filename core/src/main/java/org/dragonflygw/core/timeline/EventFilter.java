package org.dragonflygw.core.timeline;

import java.util.Optional;

/**
 * Chooses events of the time line.
 *
 * @param key part of the subject that must match; empty for all events
 * @param value value that it must have
 */
public record EventFilter(Optional<EventKey> key, String value) {
    /** Matches every event. */
    public static final EventFilter ALL = new EventFilter(Optional.empty(), "");

    /** Matches the events whose subject has the given value. */
    public static EventFilter by(EventKey key, String value) {
        return new EventFilter(Optional.of(key), value);
    }

    /** Whether an event about the subject is chosen. */
    public boolean matches(EventSubject subject) {
        return key.isEmpty() || key.get().valueIn(subject).equals(value);
    }
}
