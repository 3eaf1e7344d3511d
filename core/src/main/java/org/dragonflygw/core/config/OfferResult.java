package org.dragonflygw.core.config;

/** Result of {@link ActiveSheetHolder#offer}. */
public enum OfferResult {
    /** The offered sheet is now in force. */
    IN_FORCE,
    /** The version in force is the same or newer. */
    NOT_NEWER,
    /** The content does not match the digest of the version. */
    WRONG_DIGEST,
    /** The content is not a valid sheet. */
    INVALID
}
