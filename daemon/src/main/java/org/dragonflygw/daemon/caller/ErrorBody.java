package org.dragonflygw.daemon.caller;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * JSON that tells a caller how its request ended.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {
    /** Builds the body of an error. */
    public static ErrorBody of(CallerException e, String requestId) {
        Long retryAfter = e.retryAfterMillis() > 0 ? Long.valueOf(e.retryAfterMillis()) : null;
        return new ErrorBody(new Detail(e.code().name(), e.detail(), e.run().wireName(), retryAfter, requestId));
    }

    /**
     * The error.
     *
     * @param code stable code
     * @param message what went wrong
     * @param run whether the request was run: not_run, run or unknown
     * @param retryAfterMillis when a new try makes sense, in milliseconds; absent when it never does
     * @param requestId id of the request
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Detail(String code, String message, String run, Long retryAfterMillis, String requestId) {}
}
