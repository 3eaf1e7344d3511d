package org.dragonflygw.bench.fuzz;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.bench.history.HistoryEvent.Executed;
import org.dragonflygw.bench.history.HistoryRecorder;

/** A simulated model engine or plain service with at most one injected fault at a time. Not thread-safe. */
final class FuzzEndpoint {
    private static final long TOKEN_INTERVAL_MILLIS = 20;
    private static final long SLOW_ANSWER_MILLIS = 3_000;
    private static final long LATE_RUN_MILLIS = 8_000;
    private static final Set<EndpointFault> CHUNK_FAULTS =
            EnumSet.of(EndpointFault.CROSSED, EndpointFault.DUPLICATE, EndpointFault.GAP);

    private final String id;
    private final VirtualTime time;
    private final HistoryRecorder history;
    private final FaultCounts counts;
    private final Map<String, List<String>> streams = new HashMap<>();
    private EndpointFault fault = EndpointFault.NONE;

    FuzzEndpoint(String id, VirtualTime time, HistoryRecorder history, FaultCounts counts) {
        this.id = id;
        this.time = time;
        this.history = history;
        this.counts = counts;
    }

    String id() {
        return id;
    }

    void setFault(EndpointFault newFault) {
        fault = newFault;
    }

    /** Receives a request and answers with the given tokens, subject to the current fault. */
    void send(String request, String submission, List<String> tokens, AnswerListener listener) {
        switch (fault) {
            case REFUSES -> injectFault(listener::onRefused);
            case REQUEST_LOST -> injectFault(() -> time.schedule(TOKEN_INTERVAL_MILLIS, listener::onLost));
            case LATE_RUN ->
                injectFault(() -> {
                    time.schedule(TOKEN_INTERVAL_MILLIS, listener::onLost);
                    time.schedule(LATE_RUN_MILLIS, () -> run(request, submission, tokens));
                });
            case ANSWER_LOST ->
                injectFault(() -> {
                    run(request, submission, tokens);
                    time.schedule(TOKEN_INTERVAL_MILLIS, listener::onLost);
                });
            case SLOW ->
                injectFault(() -> {
                    run(request, submission, tokens);
                    time.schedule(SLOW_ANSWER_MILLIS, () -> stream(request, 0, tokens, listener, EndpointFault.NONE));
                });
            default -> {
                boolean chunkFault = CHUNK_FAULTS.contains(fault);
                run(request, submission, tokens);
                stream(request, 0, tokens, listener, chunkFault && !submission.isEmpty() ? EndpointFault.NONE : fault);
            }
        }
    }

    /**
     * Sends the rest of a stream on a new connection. Returns false if this endpoint never ran the request or refuses
     * connections.
     */
    boolean resume(String request, long from, AnswerListener listener) {
        List<String> tokens = streams.get(request);
        if (tokens == null || fault == EndpointFault.REFUSES) {
            return false;
        }
        stream(request, (int) from, tokens, listener, EndpointFault.NONE);
        return true;
    }

    private void injectFault(Runnable action) {
        counts.add(fault);
        action.run();
    }

    private void run(String request, String submission, List<String> tokens) {
        streams.put(request, tokens);
        history.record(new Executed(request, submission, id));
    }

    private void stream(
            String request, int from, List<String> tokens, AnswerListener listener, EndpointFault streamFault) {
        if (streamFault != EndpointFault.NONE) {
            counts.add(streamFault);
        }
        List<String> foreignTokens = tokens.stream().map(t -> "foreign-" + t).toList();
        int middle = from + (tokens.size() - from) / 2;
        long delayMillis = TOKEN_INTERVAL_MILLIS;
        for (int i = from; i < tokens.size(); i++) {
            byte[] chunk = SseChunks.tokenEvent(request, i, tokens);
            boolean inMiddle = i == middle;
            if (inMiddle && streamFault == EndpointFault.SILENT) {
                return;
            }
            if (inMiddle && streamFault == EndpointFault.CUT) {
                time.schedule(delayMillis, listener::onLost);
                return;
            }
            if (inMiddle && streamFault == EndpointFault.CROSSED) {
                byte[] foreign = SseChunks.tokenEvent("other-" + request, i, foreignTokens);
                time.schedule(delayMillis, () -> listener.onBytes(foreign));
            }
            if (!inMiddle || streamFault != EndpointFault.GAP) {
                time.schedule(delayMillis, () -> listener.onBytes(chunk));
            }
            if (inMiddle && streamFault == EndpointFault.DUPLICATE) {
                time.schedule(delayMillis, () -> listener.onBytes(chunk));
            }
            delayMillis += TOKEN_INTERVAL_MILLIS;
        }
        time.schedule(delayMillis, () -> {
            listener.onBytes(SseChunks.doneEvent());
            listener.onEnd();
        });
    }
}
