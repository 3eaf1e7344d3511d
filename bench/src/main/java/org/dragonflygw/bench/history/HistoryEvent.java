package org.dragonflygw.bench.history;

import java.util.List;
import org.dragonflygw.core.error.RunStatus;

/** Something that a caller, a router or an endpoint saw. */
public sealed interface HistoryEvent {
    /**
     * A caller sent a request.
     *
     * @param request id of the request
     * @param daemon router that took it
     * @param submission team and key of a non-idempotent request; empty for any other
     * @param expected the tokens of the right answer
     */
    record RequestSent(String request, String daemon, String submission, List<String> expected)
            implements HistoryEvent {
        public RequestSent {
            expected = List.copyOf(expected);
        }
    }

    /**
     * A router sent a request to an endpoint.
     *
     * @param request id of the request
     * @param endpoint endpoint
     */
    record Dispatched(String request, String endpoint) implements HistoryEvent {}

    /**
     * An endpoint ran a request.
     *
     * @param request id of the request
     * @param submission team and key of a non-idempotent request; empty for any other
     * @param endpoint endpoint
     */
    record Executed(String request, String submission, String endpoint) implements HistoryEvent {}

    /**
     * A caller received the next token of its answer.
     *
     * @param request id of the request
     * @param token the token
     */
    record TokenReceived(String request, String token) implements HistoryEvent {}

    /**
     * A request ended for its caller.
     *
     * @param request id of the request
     * @param ending how
     * @param run what the answer said of the run
     */
    record RequestEnded(String request, Ending ending, RunStatus run) implements HistoryEvent {}

    /**
     * A router ended without warning; its open connections broke.
     *
     * @param daemon router
     */
    record Crashed(String daemon) implements HistoryEvent {}

    /**
     * An endpoint began to leave.
     *
     * @param endpoint endpoint
     */
    record Leaving(String endpoint) implements HistoryEvent {}

    /**
     * A router put a configuration in force.
     *
     * @param daemon router
     * @param version number of the configuration
     */
    record SheetActivated(String daemon, long version) implements HistoryEvent {}
}
