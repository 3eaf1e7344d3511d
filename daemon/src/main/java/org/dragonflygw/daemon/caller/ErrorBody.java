package org.dragonflygw.daemon.caller;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * JSON body of an error response.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {
    /** Creates the body for an error of a request. */
    public static ErrorBody of(CallerException e, String requestId) {
        Long retryAfter = e.retryAfterMillis() > 0 ? Long.valueOf(e.retryAfterMillis()) : null;
        return new ErrorBody(new Detail(e.code().name(), e.detail(), e.run().wireName(), retryAfter, requestId));
    }

    /**
     * Details of the error.
     *
     * @param code name of the {@link CallerCode}
     * @param message what went wrong
     * @param run whether the request was run: not_run, run or unknown
     * @param retryAfterMillis delay after which the caller may retry, in milliseconds; absent when a retry cannot
     *     succeed
     * @param requestId id of the request
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Detail(String code, String message, String run, Long retryAfterMillis, String requestId) {}
}
