package org.dragonflygw.daemon.caller;

import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.ledger.AnswerHeader;
import org.dragonflygw.core.ledger.Claim;
import org.dragonflygw.core.ledger.StoredAnswer;

/**
 * The claim under which a request runs; for a request that may run more than once it does nothing. Only the first ending
 * counts. For one thread.
 */
final class OptionalClaim {
    /** Longest body that is kept for repeats, in bytes. */
    static final int MAX_STORED_BYTES = StoredAnswer.MAX_BODY_BYTES;

    private static final String CONTENT_TYPE = "Content-Type";

    private final Optional<Claim> claim;

    private OptionalClaim(Optional<Claim> claim) {
        this.claim = claim;
    }

    /** Of a request that may run more than once. */
    static OptionalClaim none() {
        return new OptionalClaim(Optional.empty());
    }

    static OptionalClaim of(Claim claim) {
        return new OptionalClaim(Optional.of(claim));
    }

    /** Whether the answer is to be kept and the request must not run again. */
    boolean isPresent() {
        return claim.isPresent();
    }

    /** Whether the request may be sent now. */
    boolean mayDispatch() {
        return claim.map(Claim::mayDispatch).orElse(true);
    }

    /** The request ran and its whole answer came; a body that is absent is too long to be kept. */
    void complete(int status, String contentType, Optional<byte[]> body) {
        Optional<byte[]> kept = body.filter(content -> content.length <= MAX_STORED_BYTES);
        claim.ifPresent(held ->
                held.complete(new StoredAnswer(status, List.of(new AnswerHeader(CONTENT_TYPE, contentType)), kept)));
    }

    /** The request ended without a whole answer. */
    void fail(RunStatus run) {
        if (run == RunStatus.NOT_RUN) {
            claim.ifPresent(Claim::markNotRun);
        } else {
            claim.ifPresent(Claim::markOutcomeUnknown);
        }
    }
}
