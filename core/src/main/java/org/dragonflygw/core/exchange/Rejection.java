package org.dragonflygw.core.exchange;

/**
 * An answer of this host.
 *
 * @param reason why
 * @param retryAfterMs when the caller may come again, in milliseconds; 0 for no advice
 */
public record Rejection(RejectReason reason, long retryAfterMs) {
    /** A rejection without advice. */
    public static Rejection of(RejectReason reason) {
        return new Rejection(reason, 0);
    }
}
