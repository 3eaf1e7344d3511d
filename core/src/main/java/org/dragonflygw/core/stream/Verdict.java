package org.dragonflygw.core.stream;

/** What a check decided about one event of a stream. */
public enum Verdict {
    /** The next token of the answer: send it to the caller. */
    RELAY,
    /** The end of a whole answer: send it to the caller. */
    DONE,
    /** Carries no token, for example a comment: drop it. */
    EMPTY,
    /** A token that was sent to the caller before: drop it. */
    DUPLICATE,
    /** Belongs to another request: drop it. */
    FOREIGN,
    /** At least one token before this one is missing: resume at the next token. */
    GAP,
    /** The stream ended before the answer was whole: resume at the next token. */
    EARLY_DONE,
    /** An error of the engine in place of a token: resume at the next token. */
    ENGINE_ERROR,
    /** Cannot be read: resume at the next token. */
    MALFORMED
}
