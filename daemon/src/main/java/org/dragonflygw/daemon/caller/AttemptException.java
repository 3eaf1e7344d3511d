package org.dragonflygw.daemon.caller;

import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.daemon.endpoint.EndpointCode;
import org.dragonflygw.daemon.endpoint.EndpointException;

/**
 * A failed attempt at one endpoint. Nothing of its response has been sent to the caller, so another attempt is
 * possible.
 */
final class AttemptException extends CodedException {
    private final AttemptOutcome outcome;
    private final RunStatus run;
    private final boolean retryable;

    AttemptException(
            CallerCode code, AttemptOutcome outcome, RunStatus run, boolean retryable, String detail, Throwable cause) {
        super(code, detail, cause);
        this.outcome = outcome;
        this.run = run;
        this.retryable = retryable;
    }

    /**
     * Converts a failed call to an endpoint. Only a request that was never sent has certainly not run.
     *
     * @param repeatable whether the request may be sent again after its response was lost
     */
    static AttemptException of(EndpointException e, boolean repeatable) {
        return switch ((EndpointCode) e.code()) {
            case DISPATCH_WITHDRAWN ->
                new AttemptException(
                        CallerCode.LEDGER_UNAVAILABLE,
                        AttemptOutcome.CANCELLED,
                        RunStatus.NOT_RUN,
                        false,
                        "the claim grew too old before the request was sent",
                        e);
            case NOT_CONNECTED ->
                new AttemptException(
                        CallerCode.ENDPOINT_UNREACHABLE,
                        AttemptOutcome.UNREACHABLE,
                        RunStatus.NOT_RUN,
                        true,
                        "the endpoint could not be reached",
                        e);
            case ANSWER_TOO_LARGE ->
                new AttemptException(
                        CallerCode.ANSWER_TOO_LARGE,
                        AttemptOutcome.FAILED,
                        RunStatus.RUN,
                        false,
                        "the answer is too large to be passed on",
                        e);
            default ->
                new AttemptException(
                        CallerCode.ANSWER_LOST,
                        AttemptOutcome.ENDPOINT_LOST,
                        RunStatus.UNKNOWN,
                        repeatable,
                        "the answer of the endpoint was lost",
                        e);
        };
    }

    AttemptOutcome outcome() {
        return outcome;
    }

    /** Whether the endpoint ran the request. */
    RunStatus run() {
        return run;
    }

    /** Whether another attempt at a different endpoint may succeed. */
    boolean retryable() {
        return retryable;
    }

    /**
     * The error for the caller when no further attempt is made.
     *
     * @param overall run status over all attempts
     */
    CallerException toCaller(RunStatus overall) {
        return new CallerException((CallerCode) code(), overall, detail(), 0, this);
    }
}
