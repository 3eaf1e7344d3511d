package org.dragonflygw.core.retry;

/**
 * Decision of a {@link Quarantine} whether a request may be attempted.
 *
 * @param kind kind of decision
 * @param retryAfterMillis when refused, time after which a retry makes sense, in milliseconds
 */
public record SuspectVerdict(Kind kind, long retryAfterMillis) {
    /** Kinds of decisions. */
    public enum Kind {
        /** The request is not a suspect. */
        CLEAR,
        /** An engine was lost while it ran the request; this attempt is allowed as the only one at a time. */
        SOLO,
        /** Another attempt of the suspect request is in flight. */
        BUSY,
        /** The request is quarantined. */
        QUARANTINED
    }

    static final SuspectVerdict CLEAR = new SuspectVerdict(Kind.CLEAR, 0);
    static final SuspectVerdict SOLO = new SuspectVerdict(Kind.SOLO, 0);
}
