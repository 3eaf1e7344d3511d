package org.dragonflygw.core.crash;

import java.util.Map;
import java.util.Set;

/**
 * A part of prompts, and the endpoints that ended while they were beginning to write an answer on it, as one host tells
 * others.
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
     */
    public record Loss(long sentAgeMs, long lostAgeMs) {}
}
