package org.dragonflygw.core.ledger;

/** Tells whether the owner of a claim may still end it. */
@FunctionalInterface
public interface OwnerLiveness {
    /** Knows of no dead owner; repeats then wait until the owner's deadline. */
    OwnerLiveness ASSUME_LIVE = owner -> true;

    /** False only if the process is certainly gone. */
    boolean mayBeLive(ClaimOwner owner);
}
