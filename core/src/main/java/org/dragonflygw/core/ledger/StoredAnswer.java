package org.dragonflygw.core.ledger;

import java.util.List;
import java.util.Optional;

/**
 * The answer of a run, kept for repeats of its key.
 *
 * @param status HTTP status
 * @param headers the headers that a repeat gets again
 * @param body the whole body; empty when it was longer than {@link #MAX_BODY_BYTES} or could not be kept
 */
public record StoredAnswer(int status, List<AnswerHeader> headers, Optional<byte[]> body) {
    /** Longest body that is kept, in bytes. */
    public static final int MAX_BODY_BYTES = 1 << 20;

    public StoredAnswer {
        headers = List.copyOf(headers);
    }
}
