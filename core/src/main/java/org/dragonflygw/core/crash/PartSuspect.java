package org.dragonflygw.core.crash;

import java.util.Map;
import java.util.Set;

/**
 * A part of prompts, and the endpoints that ended under prompts with it, as one host tells others.
 *
 * @param part id of the part
 * @param losses the losses by instance of the lost endpoint
 */
public record PartSuspect(long part, Map<String, Loss> losses) {
    public PartSuspect {
        losses = Map.copyOf(losses);
    }

    /** Returns the instances of the lost endpoints. */
    public Set<String> endpoints() {
        return losses.keySet();
    }

    /**
     * One loss.
     *
     * @param sentAgeMs time since the request was sent, in milliseconds
     * @param lostAgeMs time since the connection was lost, in milliseconds
     * @param begun whether the endpoint was beginning to write the response; if not, nothing was read of it
     * @param chance estimated share of such requests that were lost in this way around that time, between 0 and 1
     */
    public record Loss(long sentAgeMs, long lostAgeMs, boolean begun, double chance) {
        /** Chance that is assumed of a loss of which an earlier build does not tell any. */
        public static final double ASSUMED_CHANCE = 0.1;
    }
}
