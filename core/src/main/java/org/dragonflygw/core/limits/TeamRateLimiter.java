package org.dragonflygw.core.limits;

import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.dragonflygw.core.config.Team;

/**
 * Enforces the fleet-wide request rate of each team when a request arrives. One daemon, the team's steward, holds the
 * token bucket. This limiter fetches tokens from it in small batches, sized by this daemon's demand of the last second.
 * While the steward is unreachable, each daemon grants the team an equal part of the rate. Teams without a rate are not
 * limited and need no calls. Thread-safe.
 *
 * <p>Lock order: the monitor of an allowance is never held during a call to the token source. The monitor of the
 * allowance map is a leaf.
 */
public final class TeamRateLimiter {
    private static final int MAX_TEAMS = 4_096;
    private static final long DEMAND_WINDOW_MILLIS = 1_000;
    private static final int BATCHES_PER_WINDOW = 4;
    private static final long UNREACHABLE_RETRY_MILLIS = 1_000;

    private final TeamTokenSource source;
    private final IntSupplier daemons;
    private final InstantSource clock;
    private final LinkedHashMap<String, Allowance> allowances = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates a limiter without cached tokens.
     *
     * @param source fetches tokens from the stewards of the teams
     * @param daemons number of live daemons in the fleet
     */
    public TeamRateLimiter(TeamTokenSource source, IntSupplier daemons, InstantSource clock) {
        this.source = source;
        this.daemons = daemons;
        this.clock = clock;
    }

    /**
     * Takes one token for a request of the team. May call the team's steward.
     *
     * @return 0 if the request may proceed, otherwise the time after which to retry, in milliseconds
     */
    public long acquire(Team team) {
        if (team.requestsPerSecond() <= 0) {
            return 0;
        }
        Allowance allowance = allowance(team);
        int wanted = allowance.takeOrCountWanted(clock.instant());
        if (wanted == 0) {
            return 0;
        }
        Optional<TeamTokens> reply = source.take(team, wanted);
        return reply.map(tokens -> allowance.accept(tokens, clock.instant()))
                .orElseGet(() -> allowance.takeLocal(team, Math.max(1, daemons.getAsInt()), clock.instant()));
    }

    private Allowance allowance(Team team) {
        synchronized (allowances) {
            Allowance allowance = allowances.get(team.name());
            if (allowance == null) {
                allowance = new Allowance(clock.instant());
                allowances.put(team.name(), allowance);
                if (allowances.size() > MAX_TEAMS) {
                    Map.Entry<String, Allowance> eldest =
                            allowances.entrySet().iterator().next();
                    allowances.remove(eldest.getKey());
                }
            }
            return allowance;
        }
    }

    /** Tokens that this daemon holds for one team, and its demand for them. */
    private static final class Allowance {
        private int tokens;
        private Instant validUntil = Instant.EPOCH;
        private Instant windowStart;
        private int demand;
        private int lastDemand;
        private TokenBucket localBucket;

        private Allowance(Instant now) {
            this.windowStart = now;
        }

        /** Takes a cached token and returns 0, or returns the number of tokens to fetch. */
        private synchronized int takeOrCountWanted(Instant now) {
            countDemand(now);
            if (tokens > 0 && now.isBefore(validUntil)) {
                tokens--;
                return 0;
            }
            tokens = 0;
            return Math.max(1, Math.max(demand, lastDemand) / BATCHES_PER_WINDOW);
        }

        private synchronized long accept(TeamTokens reply, Instant now) {
            localBucket = null;
            if (reply.granted() == 0) {
                return Math.max(1, reply.retryAfterMillis());
            }
            tokens += reply.granted() - 1;
            validUntil = now.plusMillis(reply.validMillis());
            return 0;
        }

        private synchronized long takeLocal(Team team, int liveDaemons, Instant now) {
            double rate = (double) team.requestsPerSecond() / liveDaemons;
            if (localBucket == null) {
                localBucket = new TokenBucket(rate, rate, now);
            }
            localBucket.configure(rate, rate, now);
            if (localBucket.take(1, now) == 1) {
                return 0;
            }
            return Math.min(UNREACHABLE_RETRY_MILLIS * liveDaemons, localBucket.millisToNext(now));
        }

        private void countDemand(Instant now) {
            if (now.toEpochMilli() - windowStart.toEpochMilli() >= DEMAND_WINDOW_MILLIS) {
                lastDemand = demand;
                demand = 0;
                windowStart = now;
            }
            demand++;
        }
    }
}
