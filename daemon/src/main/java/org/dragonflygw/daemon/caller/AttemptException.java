package org.dragonflygw.daemon.caller;

import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.routing.AttemptOutcome;

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
