package org.dragonflygw.core.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Tracks the slots that each team holds on one engine and which teams were active there recently. A team above its
 * weighted share may not take the last slots, which stay free for other teams. Not thread-safe.
 */
public final class TeamShares {
    private static final Duration ACTIVE_FOR = Duration.ofSeconds(30);

    private static final double DURATION_SMOOTHING = 0.1;
    private static final double SHARE_TOLERANCE = 1.5;

    private final Map<String, TeamUsage> usages = new HashMap<>();
    private long activeWeight;

    /** Records that a team asked for a slot. */
    public void recordDemand(String team, int weight, Instant now) {
        TeamUsage usage = usages.get(team);
        if (usage == null) {
            usage = new TeamUsage();
            usages.put(team, usage);
        }
        activeWeight += weight - usage.weight;
        usage.weight = weight;
        usage.lastDemand = now;
    }

    /** Adds a slot to a team, which must have been passed to {@link #recordDemand} before. */
    public void acquireSlot(String team) {
        usages.get(team).slots++;
    }

    /** Removes a slot from a team; does nothing if the team holds none. */
    public void releaseSlot(String team) {
        TeamUsage usage = usages.get(team);
        if (usage != null && usage.slots > 0) {
            usage.slots--;
        }
    }

    /**
     * Returns whether one more slot would put the team well above its weighted share among the active teams. Always
     * false for a team that holds no slot.
     *
     * @param slots number of slots of the engine
     */
    public boolean isAboveShare(String team, int slots) {
        TeamUsage usage = usages.get(team);
        if (usage == null || usage.slots == 0 || usage.weight >= activeWeight) {
            return false;
        }
        return (usage.slots + 1) * activeWeight > SHARE_TOLERANCE * slots * usage.weight;
    }

    /** Returns the number of slots that a team holds. */
    public int slots(String team) {
        TeamUsage usage = usages.get(team);
        return usage == null ? 0 : usage.slots;
    }

    /** Returns the moving average of the team's request durations in milliseconds, or the default before any ended. */
    public double meanDurationMillis(String team, double defaultMillis) {
        TeamUsage usage = usages.get(team);
        return usage == null || usage.meanMillis < 0 ? defaultMillis : usage.meanMillis;
    }

    /** Records the duration of a request of the team, in milliseconds. */
    public void recordDuration(String team, double millis) {
        TeamUsage usage = usages.get(team);
        if (usage != null) {
            usage.meanMillis =
                    usage.meanMillis < 0 ? millis : usage.meanMillis + DURATION_SMOOTHING * (millis - usage.meanMillis);
        }
    }

    /** Returns the number of tracked teams. */
    public int size() {
        return usages.size();
    }

    /** Removes teams that hold no slot and have not asked for one within {@link #ACTIVE_FOR}. */
    public void removeIdleTeams(Instant now) {
        Iterator<TeamUsage> iterator = usages.values().iterator();
        while (iterator.hasNext()) {
            TeamUsage usage = iterator.next();
            if (usage.slots == 0 && usage.lastDemand.plus(ACTIVE_FOR).isBefore(now)) {
                activeWeight -= usage.weight;
                iterator.remove();
            }
        }
    }

    private static final class TeamUsage {
        private int weight;
        private int slots;
        private double meanMillis = -1;
        private Instant lastDemand = Instant.EPOCH;
    }
}
