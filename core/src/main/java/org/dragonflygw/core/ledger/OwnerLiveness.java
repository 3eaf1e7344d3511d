package org.dragonflygw.core.ledger;

/** Tells whether the owner of a claim may still be running. */
@FunctionalInterface
public interface OwnerLiveness {
    /** Takes every owner for live, so that repeats wait until the owner's deadline. */
    OwnerLiveness ASSUME_LIVE = owner -> true;

    /** Returns false only if the process has certainly ended. */
    boolean mayBeLive(ClaimOwner owner);
}
