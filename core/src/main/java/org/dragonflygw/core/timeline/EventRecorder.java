package org.dragonflygw.core.timeline;

/** Records events of the timeline. Never blocks and never throws. Thread-safe. */
public interface EventRecorder {
    /** Recorder that discards all events. */
    EventRecorder DISCARD = (type, subject, detail) -> {};

    /**
     * Records an event at the current time.
     *
     * @param type what happened
     * @param subject request, chat, endpoint, team, key or lease that the event is about
     * @param detail a short text with figures and their units; may be empty
     */
    void record(EventType type, EventSubject subject, String detail);
}
