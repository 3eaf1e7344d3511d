package org.dragonflygw.core.retry;

/**
 * Whether a request may be attempted.
 *
 * @param kind the answer
 * @param retryAfterMillis when refused, time until a new try makes sense, in milliseconds
 */
public record SuspectVerdict(Kind kind, long retryAfterMillis) {
    /** Kinds of answers. */
    public enum Kind {
        /** Nothing is known against the request. */
        CLEAR,
        /** An engine was lost while it ran the request; this is the only attempt allowed at a time. */
        SOLO,
        /** Another attempt of the suspected request is in flight. */
        BUSY,
        /** The request is quarantined. */
        QUARANTINED
    }

    static final SuspectVerdict CLEAR = new SuspectVerdict(Kind.CLEAR, 0);
    static final SuspectVerdict SOLO = new SuspectVerdict(Kind.SOLO, 0);
}
