package org.dragonflygw.core.limits;

import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import org.dragonflygw.core.config.Team;

/**
 * Holds the token buckets of the teams that are assigned to this daemon by hashing. When there are more than
 * {@code maxTeams} buckets, the least recently used one is evicted. A new bucket starts with one second's worth of
 * tokens instead of the full burst, so that a change of steward does not give the team a second burst. Thread-safe; its
 * monitor is a leaf of the lock order.
 */
public final class TeamRateSteward {
    private static final long VALID_MILLIS = 1_000;

    private final int maxTeams;
    private final InstantSource clock;
    private final LinkedHashMap<String, TokenBucket> buckets = new LinkedHashMap<>(16, 0.75f, true);

    public TeamRateSteward(int maxTeams, InstantSource clock) {
        this.maxTeams = maxTeams;
        this.clock = clock;
    }

    /** Takes up to {@code wanted} tokens, at least one, from the bucket of a team. */
    public synchronized TeamTokens take(Team team, int wanted) {
        Instant now = clock.instant();
        TokenBucket bucket = buckets.get(team.name());
        if (bucket == null) {
            bucket = new TokenBucket(team.requestsPerSecond(), team.requestsPerSecond(), now);
            buckets.put(team.name(), bucket);
            evictEldest();
        }
        bucket.configure(team.requestsPerSecond(), (double) team.requestsPerSecond() + team.burst(), now);
        int granted = bucket.take(Math.max(1, wanted), now);
        return new TeamTokens(granted, VALID_MILLIS, granted > 0 ? 0 : bucket.millisToNext(now));
    }

    /** Returns the number of buckets. */
    public synchronized int size() {
        return buckets.size();
    }

    private void evictEldest() {
        if (buckets.size() > maxTeams) {
            Map.Entry<String, TokenBucket> eldest =
                    buckets.entrySet().iterator().next();
            buckets.remove(eldest.getKey());
        }
    }
}
