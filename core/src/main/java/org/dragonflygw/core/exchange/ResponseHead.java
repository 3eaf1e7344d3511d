package org.dragonflygw.core.exchange;

import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.dispatch.LoadReport;

/**
 * The head of an endpoint's answer.
 *
 * @param status HTTP status
 * @param signed whether it carries the endpoint's signature
 * @param notExecuted whether it states that the request was not run
 * @param encoded whether the body has a content encoding, so that it is not the endpoint's own body
 * @param contentLength length of the body if it is declared, else -1
 * @param load load of the endpoint, if told
 * @param fields header fields to be passed on
 */
public record ResponseHead(
        int status,
        boolean signed,
        boolean notExecuted,
        boolean encoded,
        long contentLength,
        Optional<LoadReport> load,
        List<HeaderField> fields) {
    public ResponseHead {
        fields = List.copyOf(fields);
    }

    /** Whether the status says success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Whether the status promises that the request was not run. */
    public boolean impliesNotExecuted() {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }
}
