package org.dragonflygw.core.dispatch;

/** The policies for choosing an endpoint. */
public enum ChoicePolicy {
    /** The endpoint at which the response is expected to begin first; see {@link ExpectedTimeChooser}. */
    EXPECTED_TIME,
    /** Each endpoint in turn; see {@link RoundRobinChooser}. */
    ROUND_ROBIN,
    /** The less loaded of two random endpoints; see {@link TwoChoicesChooser}. */
    TWO_CHOICES,
    /**
     * The first endpoint in the rendezvous order of the shared prompt prefix whose load is within a multiple of the
     * mean; see {@link BoundedHashChooser}.
     */
    BOUNDED_HASH
}
