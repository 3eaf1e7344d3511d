package org.dragonflygw.core.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Slots that each team holds on one engine, and which teams were active there lately. A team above its weighted share
 * may not take the last slots, which stay free for the others. Not thread safe; the owner guards it.
 */
public final class TeamShares {
    private static final Duration ACTIVE_FOR = Duration.ofSeconds(30);

    private static final double SMOOTHING = 0.1;
    private static final double TOLERANCE = 1.5;

    private final Map<String, Holding> holdings = new HashMap<>();
    private long activeWeight;

    /** Notes that a team asked for a slot. */
    public void recordDemand(String team, int weight, Instant now) {
        Holding holding = holdings.get(team);
        if (holding == null) {
            holding = new Holding();
            holdings.put(team, holding);
        }
        activeWeight += weight - holding.weight;
        holding.weight = weight;
        holding.lastAsked = now;
    }

    /** Adds a slot to a team that was noted before. */
    public void acquireSlot(String team) {
        holdings.get(team).slots++;
    }

    /** Takes a slot from a team. */
    public void releaseSlot(String team) {
        Holding holding = holdings.get(team);
        if (holding != null && holding.slots > 0) {
            holding.slots--;
        }
    }

    /**
     * Whether one more slot would put the team well above its weighted share among the active teams. A team without a
     * slot never is.
     */
    public boolean isAboveShare(String team, int slots) {
        Holding holding = holdings.get(team);
        if (holding == null || holding.slots == 0 || holding.weight >= activeWeight) {
            return false;
        }
        return (holding.slots + 1) * activeWeight > TOLERANCE * slots * holding.weight;
    }

    /** Slots that a team holds. */
    public int slots(String team) {
        Holding holding = holdings.get(team);
        return holding == null ? 0 : holding.slots;
    }

    /** Mean duration of the team's requests, in milliseconds; the given default before any ended. */
    public double meanDurationMillis(String team, double defaultMillis) {
        Holding holding = holdings.get(team);
        return holding == null || holding.meanMillis < 0 ? defaultMillis : holding.meanMillis;
    }

    /** Notes how long a request of the team took. */
    public void recordDuration(String team, double millis) {
        Holding holding = holdings.get(team);
        if (holding != null) {
            holding.meanMillis =
                    holding.meanMillis < 0 ? millis : holding.meanMillis + SMOOTHING * (millis - holding.meanMillis);
        }
    }

    /** Number of teams remembered. */
    public int size() {
        return holdings.size();
    }

    /** Forgets teams that hold nothing and have not asked for a while. */
    public void removeIdleTeams(Instant now) {
        Iterator<Holding> each = holdings.values().iterator();
        while (each.hasNext()) {
            Holding holding = each.next();
            if (holding.slots == 0 && holding.lastAsked.plus(ACTIVE_FOR).isBefore(now)) {
                activeWeight -= holding.weight;
                each.remove();
            }
        }
    }

    private static final class Holding {
        private int weight;
        private int slots;
        private double meanMillis = -1;
        private Instant lastAsked = Instant.EPOCH;
    }
}
