package org.dragonflygw.core.exchange;

/** Computes after which time the caller of one request may come back that is refused. */
final class RejectionDelay {
    private static final long NANOS_PER_MS = 1_000_000;

    private final ExchangeContext context;
    private final CrashBlock block;

    RejectionDelay(ExchangeContext context, CrashBlock block) {
        this.context = context;
        this.block = block;
    }

    /**
     * Returns the delay in milliseconds; 0 if the caller need not come back.
     *
     * @param expectedMs time until the request could be served, if known
     * @param remainingMs time that is left for the request
     */
    long afterMs(RejectReason reason, long expectedMs, long remainingMs) {
        long blockMs = block.remainingNanos(context.clock().nanos()) / NANOS_PER_MS;
        if (blockMs > 0) {
            return blockMs;
        }
        if (reason == RejectReason.STREAM_ORIGIN_UNKNOWN) {
            return 0; // It will not be known later either.
        }
        if (reason == RejectReason.BUSY && expectedMs > 0) {
            return context.retryAfterDelays().whenRoomMs(expectedMs, remainingMs);
        }
        return switch (reason) {
            case ENDPOINTS_QUIET, ENDPOINTS_LIMITED, ZONE_EVACUATED ->
                context.retryAfterDelays().afterMs(expectedMs);
            default -> context.retryAfterDelays().nextMs(remainingMs);
        };
    }
}
