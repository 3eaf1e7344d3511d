package org.dragonflygw.daemon.caller;

import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.request.RequestException;
import org.dragonflygw.core.routing.RoutingException;

/** A request that failed, with the error that is sent to its caller. */
public final class CallerException extends CodedException {
    private final RunStatus run;
    private final long retryAfterMillis;

    public CallerException(CallerCode code, RunStatus run, String detail, long retryAfterMillis, Throwable cause) {
        super(code, detail, cause);
        this.run = run;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Creates the error of a request that was refused before it was sent to an endpoint. */
    public static CallerException notRun(CallerCode code, String detail, long retryAfterMillis) {
        return new CallerException(code, RunStatus.NOT_RUN, detail, retryAfterMillis, null);
    }

    /** Creates the error of a request whose headers or body are invalid. */
    public static CallerException of(RequestException e) {
        return new CallerException(CallerCode.valueOf(e.code().name()), RunStatus.NOT_RUN, e.detail(), 0, e);
    }

    /**
     * Creates the error of a request for which no endpoint slot was available.
     *
     * @param run whether an earlier attempt may have run the request
     */
    public static CallerException of(RoutingException e, RunStatus run) {
        CallerCode code = CallerCode.valueOf(e.code().name());
        return new CallerException(code, run, e.detail(), e.retryAfterMillis(), e);
    }

    /** The error code as a {@link CallerCode}. */
    public CallerCode callerCode() {
        return (CallerCode) code();
    }

    /** Whether the request was run. */
    public RunStatus run() {
        return run;
    }

    /** Delay after which the caller may retry, in milliseconds; 0 when a retry cannot succeed. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
