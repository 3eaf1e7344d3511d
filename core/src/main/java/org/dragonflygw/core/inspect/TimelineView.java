package org.dragonflygw.core.inspect;

import java.util.List;
import org.dragonflygw.core.timeline.Event;
import org.dragonflygw.core.timeline.RingUsage;

/**
 * Events of one daemon: answer of {@code GET /v1/timeline}.
 *
 * @param daemonId daemon that answers
 * @param usage usage of the ring buffer of the timeline
 * @param events matching events, oldest first
 */
public record TimelineView(String daemonId, RingUsage usage, List<Event> events) {
    public TimelineView {
        events = List.copyOf(events);
    }
}
