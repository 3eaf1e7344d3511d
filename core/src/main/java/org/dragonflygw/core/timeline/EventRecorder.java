package org.dragonflygw.core.timeline;

/** Takes events of the time line. Never blocks and never throws; safe from every thread. */
public interface EventRecorder {
    /** Discards all events. */
    EventRecorder DISCARD = (type, subject, detail) -> {};

    /**
     * Records that something happened now.
     *
     * @param type what happened
     * @param subject what it is about
     * @param detail a short text with figures and their units; may be empty
     */
    void record(EventType type, EventSubject subject, String detail);
}
