package org.dragonflygw.core.exchange;

import java.util.List;
import java.util.Optional;

/** Tells whether one request is blocked, since it or a part of its prompt is blamed for the ends of endpoints. */
final class CrashBlock {
    private final ExchangeRequest request;
    private final ExchangeContext context;
    private final List<Long> parts;

    CrashBlock(ExchangeRequest request, ExchangeContext context) {
        this.request = request;
        this.context = context;
        this.parts = request.prompt().sharedPartIds();
    }

    /** Remaining time for which the request is blocked, in nanoseconds; 0 if it may be sent. */
    long remainingNanos(long now) {
        return Math.max(requestNanos(now), context.crashingParts().remainingBlockNanos(parts, now));
    }

    private long requestNanos(long now) {
        return context.crashes().remainingBlockNanos(request.fingerprint(), now);
    }

    /** Returns why the request is blocked; empty if it may be sent. */
    Optional<RejectReason> reason(long now) {
        if (remainingNanos(now) == 0) {
            return Optional.empty();
        }
        return Optional.of(requestNanos(now) > 0 ? RejectReason.CRASHES_ENDPOINTS : RejectReason.CRASHING_PROMPT_PART);
    }
}
