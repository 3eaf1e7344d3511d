package org.dragonflygw.bench.history;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.bench.history.HistoryEvent.RequestEnded;
import org.dragonflygw.bench.history.HistoryEvent.RequestSent;

/** The events of one request, collected from a history. Not thread-safe. */
final class RequestRecord {
    final List<RequestSent> sent = new ArrayList<>();
    final List<String> tokens = new ArrayList<>();
    final List<RequestEnded> endings = new ArrayList<>();
    int executions;

    boolean endedWith(Ending ending) {
        return endings.stream().anyMatch(e -> e.ending() == ending);
    }
}
