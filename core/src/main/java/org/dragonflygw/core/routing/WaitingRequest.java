package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;

/**
 * A request that waits for a slot.
 *
 * @param request the request
 * @param listener receives the decision
 * @param since time of arrival
 */
record WaitingRequest(SlotRequest request, Consumer<SlotDecision> listener, Instant since) {
    /** Whether the request reached its maximum wait or its deadline. */
    boolean isOverdue(Instant now) {
        return waitedMillis(now) >= Math.min(request.maxWaitMillis(), request.remainingMillis());
    }

    /** Status with which an overdue request is refused. */
    SlotStatus overdueStatus(Instant now) {
        return waitedMillis(now) >= request.remainingMillis() ? SlotStatus.DEADLINE : SlotStatus.OVERLOADED;
    }

    private long waitedMillis(Instant now) {
        return Duration.between(since, now).toMillis();
    }
}
