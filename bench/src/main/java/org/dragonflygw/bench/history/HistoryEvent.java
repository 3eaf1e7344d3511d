package org.dragonflygw.bench.history;

import java.util.List;
import org.dragonflygw.core.error.RunStatus;

/** An event that a caller, a router or an endpoint observed during a run. */
public sealed interface HistoryEvent {
    /**
     * A caller sent a request to a router.
     *
     * @param request id of the request
     * @param daemon id of the router that received the request
     * @param submission team and key of a non-idempotent request; empty for any other
     * @param expected tokens of the correct answer, in order
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
     * @param endpoint id of the endpoint
     */
    record Dispatched(String request, String endpoint) implements HistoryEvent {}

    /**
     * An endpoint executed a request.
     *
     * @param request id of the request
     * @param submission team and key of a non-idempotent request; empty for any other
     * @param endpoint id of the endpoint
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
     * @param ending how the request ended
     * @param run run status that the answer or error reported; unknown after a broken connection
     */
    record RequestEnded(String request, Ending ending, RunStatus run) implements HistoryEvent {}

    /**
     * A router process crashed; the open connections to the router broke.
     *
     * @param daemon id of the router
     */
    record Crashed(String daemon) implements HistoryEvent {}

    /**
     * An endpoint started to drain.
     *
     * @param endpoint id of the endpoint
     */
    record Leaving(String endpoint) implements HistoryEvent {}

    /**
     * A router activated a version of the configuration.
     *
     * @param daemon id of the router
     * @param version version number of the configuration
     */
    record SheetActivated(String daemon, long version) implements HistoryEvent {}
}
