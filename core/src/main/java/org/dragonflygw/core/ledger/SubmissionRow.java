package org.dragonflygw.core.ledger;

import java.util.Optional;

/**
 * Row of one submission in the table service.
 *
 * @param state state of the submission
 * @param token unique id of the claim
 * @param owner process that claimed the submission
 * @param requestId request that claimed the submission
 * @param service service that runs the submission
 * @param fingerprint hash of the request
 * @param claimedAtMillis time of the claim, in milliseconds since the epoch; the retention time counts from it
 * @param ownerDeadlineMillis time after which the owner no longer dispatches, in milliseconds since the epoch
 * @param answer answer if the state is {@link SubmissionState#DONE}, else empty
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
    /** Returns the row of the same claim with another state and no answer. */
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

    /** Returns the row of the same claim in state {@link SubmissionState#DONE} with an answer. */
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
