package org.dragonflygw.bench.timeline;

import java.util.Locale;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/** Records the events of a typical streamed request, with subjects and details of typical length. */
final class RequestEvents {
    /** Number of events that one request records. */
    static final int EVENTS_PER_REQUEST = 8;

    private static final int ENGINES = 12;
    private static final int TEAMS = 10;

    private final EventRecorder recorder;

    RequestEvents(EventRecorder recorder) {
        this.recorder = recorder;
    }

    /** Returns the id of the request with the number; it has the length of the ids that routers create. */
    static String requestId(int number) {
        return String.format(Locale.ROOT, "req-%016x-%d", 0x5DEECE66DL, number);
    }

    void record(int number) {
        String requestId = requestId(number);
        String chat = "chat-" + number % 2_400;
        String engine = "engine-" + number % ENGINES;
        String team = "team-" + number % TEAMS;
        EventSubject waiting = EventSubject.request(requestId, chat, "", team);
        EventSubject running = EventSubject.request(requestId, chat, engine, team);
        recorder.record(EventType.REQUEST_RECEIVED, waiting, "reviewer");
        recorder.record(EventType.CANDIDATES_RANKED, waiting, "engine-3 0.91, engine-7 0.80, engine-11 0.77");
        recorder.record(EventType.GRANT_REQUESTED, running, "steward router-b2");
        recorder.record(EventType.GRANT_GIVEN, running, "waited 3 ms, lease 10000 ms");
        recorder.record(EventType.DISPATCHED, running, "attempt 1");
        recorder.record(EventType.FIRST_TOKEN, running, "");
        recorder.record(EventType.REQUEST_COMPLETED, running, "245 tokens");
        recorder.record(EventType.GRANT_RELEASED, running, "");
    }
}
