package org.dragonflygw.daemon.timeline;

import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventRing;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;
import org.dragonflygw.daemon.inspect.RequestMonitor;

/** Records each event in the ring buffer and passes it to the request monitor. Thread-safe. */
final class MonitoredRecorder implements EventRecorder {
    private final EventRing ring;
    private final RequestMonitor monitor;

    MonitoredRecorder(EventRing ring, RequestMonitor monitor) {
        this.ring = ring;
        this.monitor = monitor;
    }

    @Override
    public void record(EventType type, EventSubject subject, String detail) {
        ring.record(type, subject, detail);
        monitor.observe(type, subject, detail);
    }
}
