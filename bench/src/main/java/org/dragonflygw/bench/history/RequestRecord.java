package org.dragonflygw.bench.history;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.bench.history.HistoryEvent.RequestEnded;
import org.dragonflygw.bench.history.HistoryEvent.RequestSent;

/** All that a history says of one request. Filled and read by one thread. */
final class RequestRecord {
    final List<RequestSent> asked = new ArrayList<>();
    final List<String> tokens = new ArrayList<>();
    final List<RequestEnded> endings = new ArrayList<>();
    int executions;

    boolean endedWith(Ending ending) {
        return endings.stream().anyMatch(e -> e.ending() == ending);
    }
}
