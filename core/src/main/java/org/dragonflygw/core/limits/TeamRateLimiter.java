package org.dragonflygw.core.limits;

import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.dragonflygw.core.config.Team;

/**
 * Holds each team to its fleet-wide rate at the entry. Tokens are fetched in small batches, sized by the demand of the
 * last second here, from the one daemon that keeps the team's bucket. While that daemon can't be reached the team gets
 * an equal part of its rate on each daemon. Teams without a rate cost nothing.
 *
 * <p>Lock order: the monitor of an allowance is never held while the source is asked; the table's monitor is a leaf.
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
     * Makes a limiter.
     *
     * @param source keeper of the buckets
     * @param daemons number of live daemons in the fleet
     * @param clock time
     */
    public TeamRateLimiter(TeamTokenSource source, IntSupplier daemons, InstantSource clock) {
        this.source = source;
        this.daemons = daemons;
        this.clock = clock;
    }

    /**
     * Takes one token for a request of the team.
     *
     * @return 0 when the request may go on, else the time until a new try makes sense, in milliseconds
     */
    public long acquire(Team team) {
        if (team.requestsPerSecond() <= 0) {
            return 0;
        }
        Allowance allowance = allowance(team);
        int wanted = allowance.takeOrWant(clock.instant());
        if (wanted == 0) {
            return 0;
        }
        Optional<TeamTokens> answer = source.take(team, wanted);
        return answer.map(tokens -> allowance.accept(tokens, clock.instant()))
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

    private static final class Allowance {
        private int tokens;
        private Instant validUntil = Instant.EPOCH;
        private Instant windowStart;
        private int demand;
        private int lastDemand;
        private TokenBucket local;

        private Allowance(Instant now) {
            this.windowStart = now;
        }

        /** Takes a token, or returns how many to ask for. */
        private synchronized int takeOrWant(Instant now) {
            countDemand(now);
            if (tokens > 0 && now.isBefore(validUntil)) {
                tokens--;
                return 0;
            }
            tokens = 0;
            return Math.max(1, Math.max(demand, lastDemand) / BATCHES_PER_WINDOW);
        }

        private synchronized long accept(TeamTokens answer, Instant now) {
            local = null;
            if (answer.granted() == 0) {
                return Math.max(1, answer.retryAfterMillis());
            }
            tokens += answer.granted() - 1;
            validUntil = now.plusMillis(answer.validMillis());
            return 0;
        }

        private synchronized long takeLocal(Team team, int daemonCount, Instant now) {
            double rate = (double) team.requestsPerSecond() / daemonCount;
            if (local == null) {
                local = new TokenBucket(rate, rate, now);
            }
            local.configure(rate, rate, now);
            if (local.take(1, now) == 1) {
                return 0;
            }
            return Math.min(UNREACHABLE_RETRY_MILLIS * daemonCount, local.millisToNext(now));
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
