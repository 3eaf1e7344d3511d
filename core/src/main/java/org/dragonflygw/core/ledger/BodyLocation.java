package org.dragonflygw.core.ledger;

/** Where the body of a stored answer is kept. */
public enum BodyLocation {
    /** Inline in the submission row. */
    ROW,
    /** In the object store, under the claim token. */
    OBJECT,
    /** Not stored. */
    NONE
}
