package org.dragonflygw.core.ledger;

/** Where the body of a stored answer is. */
public enum BodyLocation {
    /** In the row. */
    ROW,
    /** In the object store, under the claim token. */
    OBJECT,
    /** Not kept. */
    NONE
}
