package org.dragonflygw.daemon.caller;

import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.ledger.AnswerHeader;
import org.dragonflygw.core.ledger.Claim;
import org.dragonflygw.core.ledger.StoredAnswer;

/**
 * The claim of a non-idempotent request, or none for a request that may run more than once; without a claim all methods
 * that end it have no effect. Only the first of these calls counts. Not thread-safe.
 */
final class OptionalClaim {
    /** Maximum size of a stored response body, in bytes. */
    static final int MAX_STORED_BYTES = StoredAnswer.MAX_BODY_BYTES;

    private static final String CONTENT_TYPE = "Content-Type";

    private final Optional<Claim> claim;

    private OptionalClaim(Optional<Claim> claim) {
        this.claim = claim;
    }

    /** No claim, for a request that may run more than once. */
    static OptionalClaim none() {
        return new OptionalClaim(Optional.empty());
    }

    static OptionalClaim of(Claim claim) {
        return new OptionalClaim(Optional.of(claim));
    }

    /** Whether there is a claim, so that the response must be stored and the request must not run twice. */
    boolean isPresent() {
        return claim.isPresent();
    }

    /** Whether the request may be sent now; false when the claim has expired. */
    boolean mayDispatch() {
        return claim.map(Claim::mayDispatch).orElse(true);
    }

    /**
     * Ends the claim with the complete response.
     *
     * @param body body of the response; empty when it is too long to be stored
     */
    void complete(int status, String contentType, Optional<byte[]> body) {
        Optional<byte[]> stored = body.filter(content -> content.length <= MAX_STORED_BYTES);
        claim.ifPresent(held ->
                held.complete(new StoredAnswer(status, List.of(new AnswerHeader(CONTENT_TYPE, contentType)), stored)));
    }

    /** Ends the claim of a request that has no complete response. */
    void fail(RunStatus run) {
        if (run == RunStatus.NOT_RUN) {
            claim.ifPresent(Claim::markNotRun);
        } else {
            claim.ifPresent(Claim::markOutcomeUnknown);
        }
    }
}
