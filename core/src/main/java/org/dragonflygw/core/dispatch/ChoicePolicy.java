package org.dragonflygw.core.dispatch;

/** Ways to choose an endpoint. */
public enum ChoicePolicy {
    /** The one at which the answer is expected to begin first. */
    EXPECTED_TIME,
    /** One after the other. */
    ROUND_ROBIN,
    /** The less loaded of two random ones. */
    TWO_CHOICES,
    /** The first of a fixed order for each shared prompt that is not over a multiple of the mean load. */
    BOUNDED_HASH
}
