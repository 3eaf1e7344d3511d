package org.dragonflygw.core.exchange;

import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.dispatch.LoadReport;

/**
 * Status and headers of an endpoint's response.
 *
 * @param status HTTP status
 * @param signed whether the response carries the endpoint's signature
 * @param notExecuted whether the response states that the request was not run
 * @param encoded whether the body has a content encoding, which means that it is not the body as the endpoint wrote it
 * @param contentLength declared length of the body in bytes, or -1 if none is declared
 * @param endsWithConnection whether the body has neither a length nor chunks, so that the end of the connection ends it
 * @param load load that the endpoint reports, if any
 * @param notice what the endpoint says about itself
 * @param fields header fields that are forwarded to the caller
 */
public record ResponseHead(
        int status,
        boolean signed,
        boolean notExecuted,
        boolean encoded,
        long contentLength,
        boolean endsWithConnection,
        Optional<LoadReport> load,
        EndpointNotice notice,
        List<HeaderField> fields) {
    private static final int STATUS_MISDIRECTED = 421;
    private static final double MISDIRECTED_WEIGHT = 4;
    private static final double REJECTION_WEIGHT = 0.5;

    public ResponseHead {
        fields = List.copyOf(fields);
    }

    /** Whether another instance answered at the endpoint's address; what the response says is not about the endpoint. */
    public boolean isMisdirected() {
        return status == STATUS_MISDIRECTED;
    }

    /**
     * What a rejection adds to the endpoint's failure score: nothing if the endpoint asked for quiet, little otherwise, as
     * it may only be full, and much if the address belongs to another instance.
     */
    double rejectionWeight() {
        if (isMisdirected()) {
            return MISDIRECTED_WEIGHT;
        }
        return notice.quietMs() > 0 ? 0 : REJECTION_WEIGHT;
    }

    /** Whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Whether the status tells a caller that the request was not run, so that the caller may safely repeat it. */
    public boolean impliesNotExecuted() {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }
}
