package org.dragonflygw.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;

/**
 * A request that waits for a slot.
 *
 * @param request the request
 * @param listener takes the decision
 * @param since time of arrival
 */
record WaitingRequest(SlotRequest request, Consumer<SlotDecision> listener, Instant since) {
    /** Whether it waited as long as it may. */
    boolean isOverdue(Instant now) {
        return waitedMillis(now) >= Math.min(request.maxWaitMillis(), request.remainingMillis());
    }

    /** Why it is refused when it waited too long. */
    SlotStatus overdueStatus(Instant now) {
        return waitedMillis(now) >= request.remainingMillis() ? SlotStatus.DEADLINE : SlotStatus.OVERLOADED;
    }

    private long waitedMillis(Instant now) {
        return Duration.between(since, now).toMillis();
    }
}
