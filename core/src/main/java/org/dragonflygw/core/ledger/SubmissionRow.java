package org.dragonflygw.core.ledger;

import java.util.Optional;

/**
 * One submission as stored in the table service.
 *
 * @param state state
 * @param token unique to the arrival that claimed it
 * @param owner process that claimed it
 * @param requestId arrival that claimed it
 * @param service service that runs it
 * @param fingerprint hash of the request
 * @param claimedAtMillis time of the claim, in milliseconds since the epoch; the row expires by it
 * @param ownerDeadlineMillis time after which the owner does not dispatch any more
 * @param answer answer when the state is {@link SubmissionState#DONE}
 */
public record SubmissionRow(
        SubmissionState state,
        String token,
        ClaimOwner owner,
        String requestId,
        String service,
        long fingerprint,
        long claimedAtMillis,
        long ownerDeadlineMillis,
        Optional<EncodedAnswer> answer) {
    /** The same claim with another state and no answer. */
    public SubmissionRow withState(SubmissionState newState) {
        return new SubmissionRow(
                newState,
                token,
                owner,
                requestId,
                service,
                fingerprint,
                claimedAtMillis,
                ownerDeadlineMillis,
                Optional.empty());
    }

    /** The same claim, done with the given answer. */
    public SubmissionRow withAnswer(EncodedAnswer newAnswer) {
        return new SubmissionRow(
                SubmissionState.DONE,
                token,
                owner,
                requestId,
                service,
                fingerprint,
                claimedAtMillis,
                ownerDeadlineMillis,
                Optional.of(newAnswer));
    }
}
