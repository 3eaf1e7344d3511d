package org.dragonflygw.core.exchange;

/**
 * A response that this host sends in place of an endpoint's.
 *
 * @param reason why the request is rejected
 * @param retryAfterMs time after which the caller may retry, in milliseconds; 0 if the response names none
 */
public record Rejection(RejectReason reason, long retryAfterMs) {
    /** A rejection without a retry-after time. */
    public static Rejection of(RejectReason reason) {
        return new Rejection(reason, 0);
    }
}
