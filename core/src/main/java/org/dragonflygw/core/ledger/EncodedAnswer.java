package org.dragonflygw.core.ledger;

import java.util.List;

/**
 * An answer as a row holds it.
 *
 * @param status HTTP status
 * @param headers headers for repeats
 * @param location where the body is
 * @param inlineBody the body when it is in the row, else empty
 */
public record EncodedAnswer(int status, List<AnswerHeader> headers, BodyLocation location, String inlineBody) {
    public EncodedAnswer {
        headers = List.copyOf(headers);
    }
}
