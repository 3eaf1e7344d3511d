package org.dragonflygw.daemon.caller;

import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.daemon.endpoint.EndpointCode;
import org.dragonflygw.daemon.endpoint.EndpointException;

/** An attempt on one endpoint that ended before any part of an answer was sent to the caller. */
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
     * A call to an endpoint that gave no answer. Only a call that never left this process was certainly not run.
     *
     * @param repeatable whether the call may be repeated after its answer was lost
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

    /** Whether the attempt ran the request. */
    RunStatus run() {
        return run;
    }

    /** Whether another endpoint could do better. */
    boolean retryable() {
        return retryable;
    }

    /** The error for the caller when no other attempt follows. */
    CallerException toCaller(RunStatus overall) {
        return new CallerException((CallerCode) code(), overall, detail(), 0, this);
    }
}
