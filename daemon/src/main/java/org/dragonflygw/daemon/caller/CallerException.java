package org.dragonflygw.daemon.caller;

import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.request.RequestException;
import org.dragonflygw.core.routing.RoutingException;

/** A request that ends without a whole answer, as its caller is told. */
public final class CallerException extends CodedException {
    private final RunStatus run;
    private final long retryAfterMillis;

    public CallerException(CallerCode code, RunStatus run, String detail, long retryAfterMillis, Throwable cause) {
        super(code, detail, cause);
        this.run = run;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** A refusal of a request that no endpoint saw. */
    public static CallerException notRun(CallerCode code, String detail, long retryAfterMillis) {
        return new CallerException(code, RunStatus.NOT_RUN, detail, retryAfterMillis, null);
    }

    /** A refusal because the request cannot be read. */
    public static CallerException of(RequestException e) {
        return new CallerException(CallerCode.valueOf(e.code().name()), RunStatus.NOT_RUN, e.detail(), 0, e);
    }

    /**
     * A refusal because no slot could be had.
     *
     * @param run whether an earlier attempt may have run the request
     */
    public static CallerException of(RoutingException e, RunStatus run) {
        CallerCode code = CallerCode.valueOf(e.code().name());
        return new CallerException(code, run, e.detail(), e.retryAfterMillis(), e);
    }

    /** The code, as one of this layer. */
    public CallerCode callerCode() {
        return (CallerCode) code();
    }

    /** Whether the request was run. */
    public RunStatus run() {
        return run;
    }

    /** When a new try makes sense, in milliseconds; 0 when it never does. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
