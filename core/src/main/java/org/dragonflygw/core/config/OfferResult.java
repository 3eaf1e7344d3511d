package org.dragonflygw.core.config;

/** What became of content that was offered to {@link ActiveSheetHolder}. */
public enum OfferResult {
    /** It is in force now. */
    IN_FORCE,
    /** A version at least as new is in force. */
    NOT_NEWER,
    /** The content has another digest than the version names. */
    WRONG_DIGEST,
    /** The content is not a valid sheet. */
    INVALID
}
