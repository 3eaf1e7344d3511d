package org.dragonflygw.core.limits;

import java.time.Duration;
import java.time.Instant;

/** Token bucket that is full at creation. Its capacity is at least one token. Not thread-safe. */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private double tokensPerSecond;
    private double capacity;
    private double tokens;
    private Instant refilledAt;

    /** Creates a full bucket. */
    public TokenBucket(double tokensPerSecond, double capacity, Instant now) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = Math.max(1, capacity);
        this.tokens = this.capacity;
        this.refilledAt = now;
    }

    /** Changes the rate and capacity. Tokens above the new capacity are discarded. */
    public void configure(double newTokensPerSecond, double newCapacity, Instant now) {
        refill(now);
        tokensPerSecond = newTokensPerSecond;
        capacity = Math.max(1, newCapacity);
        tokens = Math.min(tokens, capacity);
    }

    /** Takes up to {@code wanted} whole tokens and returns the number taken. */
    public int take(int wanted, Instant now) {
        refill(now);
        int taken = (int) Math.min(wanted, Math.floor(tokens));
        tokens -= taken;
        return taken;
    }

    /** Adds tokens, up to the capacity. */
    public void add(double added) {
        tokens = Math.min(capacity, tokens + added);
    }

    /**
     * Returns the time until one token is available, in milliseconds; 0 if one is available now, {@link Long#MAX_VALUE}
     * if the rate is 0.
     */
    public long millisToNext(Instant now) {
        refill(now);
        if (tokens >= 1) {
            return 0;
        }
        if (tokensPerSecond <= 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil((1 - tokens) * MILLIS_PER_SECOND / tokensPerSecond);
    }

    private void refill(Instant now) {
        long nanos = Duration.between(refilledAt, now).toNanos();
        if (nanos > 0) {
            tokens = Math.min(capacity, tokens + nanos * tokensPerSecond / 1e9);
            refilledAt = now;
        }
    }
}
