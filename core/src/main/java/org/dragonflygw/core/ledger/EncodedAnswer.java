package org.dragonflygw.core.ledger;

import java.util.List;

/**
 * An answer as stored in a submission row.
 *
 * @param status HTTP status
 * @param headers headers to return to repeated requests
 * @param location where the body is stored
 * @param inlineBody the body in Base64 if it is stored in the row, else empty
 */
public record EncodedAnswer(int status, List<AnswerHeader> headers, BodyLocation location, String inlineBody) {
    public EncodedAnswer {
        headers = List.copyOf(headers);
    }
}
