package org.dragonflygw.core.routing;

/**
 * Decision of a steward about a request for a slot.
 *
 * @param status outcome
 * @param grantId id of the grant within its epoch; 0 when refused
 * @param epoch epoch of the steward
 * @param leaseMillis time until the grant expires unless renewed, in milliseconds
 * @param queuedMillis time spent in the queue, in milliseconds
 * @param retryAfterMillis when refused, time after which a retry makes sense, in milliseconds
 * @param redirectEndpointId engine that holds the chat's cache; empty unless redirected
 * @param inFlight requests on the engine after the decision
 * @param sameInFlight when refused, whether a request with the same fingerprint runs on the engine
 * @param heldByBound when refused, whether the engine has free slots that only the load bound withholds
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
    /** Creates a refusal. */
    public static SlotDecision refused(SlotStatus status, long epoch, long retryAfterMillis, int inFlight) {
        return new SlotDecision(status, 0, epoch, 0, 0, retryAfterMillis, "", inFlight, false, false);
    }

    /** Returns this decision with {@link #sameInFlight} and {@link #heldByBound} replaced. */
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

    /** Whether a slot was granted. */
    public boolean isGranted() {
        return status == SlotStatus.GRANTED;
    }
}
