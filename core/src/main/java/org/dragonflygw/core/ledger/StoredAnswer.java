package org.dragonflygw.core.ledger;

import java.util.List;
import java.util.Optional;

/**
 * The answer of a run, stored for repeats of its key.
 *
 * @param status HTTP status
 * @param headers headers to return to repeated requests
 * @param body the whole body; empty if it was longer than {@link #MAX_BODY_BYTES} or could not be stored
 */
public record StoredAnswer(int status, List<AnswerHeader> headers, Optional<byte[]> body) {
    /** Longest body that is stored, in bytes. */
    public static final int MAX_BODY_BYTES = 1 << 20;

    public StoredAnswer {
        headers = List.copyOf(headers);
    }
}
