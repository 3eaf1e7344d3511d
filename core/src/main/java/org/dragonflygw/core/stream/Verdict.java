package org.dragonflygw.core.stream;

/** Result of checking one event of a streamed response, which says what to do with the event. */
public enum Verdict {
    /** The next token of the response: send it to the caller. */
    RELAY,
    /** The end marker of a complete response: send it to the caller. */
    DONE,
    /** Has no token, for example a comment: drop it. */
    EMPTY,
    /** A token that was already sent to the caller: drop it. */
    DUPLICATE,
    /** An event of another request: drop it. */
    FOREIGN,
    /** At least one token before this one is missing: resume at the expected token. */
    GAP,
    /** The end marker came before the response was complete: resume at the expected token. */
    EARLY_DONE,
    /** An error event of the engine in place of a token: resume at the expected token. */
    ENGINE_ERROR,
    /** An event that cannot be decoded: resume at the expected token. */
    MALFORMED
}
