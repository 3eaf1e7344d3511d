package org.dragonflygw.core.routing;

/**
 * Answer to a request for a slot.
 *
 * @param status what was decided
 * @param grantId id of the grant within its epoch; 0 when refused
 * @param epoch epoch of the steward
 * @param leaseMillis time until the grant expires unless renewed, in milliseconds
 * @param queuedMillis time spent in the queue, in milliseconds
 * @param retryAfterMillis when refused, time until a new try makes sense, in milliseconds
 * @param redirectEndpointId engine that holds the chat's cache; empty unless redirected
 * @param inFlight requests on the engine after the decision
 * @param sameInFlight when refused, whether a request with the same fingerprint runs on the engine
 * @param heldByBound when refused, whether the engine has slots that only the load bound holds back
 */
public record SlotDecision(
        SlotStatus status,
        long grantId,
        long epoch,
        long leaseMillis,
        long queuedMillis,
        long retryAfterMillis,
        String redirectEndpointId,
        int inFlight,
        boolean sameInFlight,
        boolean heldByBound) {
    /** A refusal. */
    public static SlotDecision refused(SlotStatus status, long epoch, long retryAfterMillis, int inFlight) {
        return new SlotDecision(status, 0, epoch, 0, 0, retryAfterMillis, "", inFlight, false, false);
    }

    /** The same decision with notes on why it was refused. */
    public SlotDecision withRefusalDetails(boolean same, boolean held) {
        return new SlotDecision(
                status,
                grantId,
                epoch,
                leaseMillis,
                queuedMillis,
                retryAfterMillis,
                redirectEndpointId,
                inFlight,
                same,
                held);
    }

    /** Whether a slot is held. */
    public boolean isGranted() {
        return status == SlotStatus.GRANTED;
    }
}
