package org.dragonflygw.core.crash;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * What is known of the losses of each subject, a request or a part of prompts, kept apart by the number of lost endpoints.
 * Subjects with few losses, of which a crash leaves hundreds, cannot evict those with more. Not thread-safe.
 *
 * @param <V> the losses of one subject
 */
final class LossTable<V> {
    /**
     * Maximum number of subjects with one lost endpoint, with two, and with more; of each, the one whose last loss was
     * recorded first is evicted first.
     */
    private static final int[] CAPACITIES = {16_384, 2_048, 1_024};

    private final ToIntFunction<V> lostEndpoints;
    private final List<Map<Long, V>> byLostEndpoints = new ArrayList<>();

    /**
     * Creates an empty table.
     *
     * @param lostEndpoints number of lost endpoints of a subject, one or more
     */
    LossTable(ToIntFunction<V> lostEndpoints) {
        this.lostEndpoints = lostEndpoints;
        for (int i = 0; i < CAPACITIES.length; i++) {
            byLostEndpoints.add(new LinkedHashMap<>());
        }
    }

    /** Returns the losses of a subject, or null if there are none. */
    V get(long subject) {
        for (int i = CAPACITIES.length - 1; i >= 0; i--) {
            V losses = byLostEndpoints.get(i).get(subject);
            if (losses != null) {
                return losses;
            }
        }
        return null;
    }

    /** Removes and returns the losses of a subject; null if there are none. */
    V remove(long subject) {
        for (Map<Long, V> subjects : byLostEndpoints) {
            V losses = subjects.remove(subject);
            if (losses != null) {
                return losses;
            }
        }
        return null;
    }

    /** Replaces the losses of a subject. */
    void put(long subject, V losses) {
        remove(subject);
        int i = Math.min(lostEndpoints.applyAsInt(losses), CAPACITIES.length) - 1;
        Map<Long, V> subjects = byLostEndpoints.get(i);
        subjects.put(subject, losses);
        if (subjects.size() > CAPACITIES[i]) {
            subjects.remove(subjects.keySet().iterator().next());
        }
    }

    /** Returns the number of subjects. */
    int size() {
        return byLostEndpoints.stream().mapToInt(Map::size).sum();
    }

    /** Returns the subjects with just so many lost endpoints, fewer than three; the last change last. */
    Map<Long, V> with(int endpoints) {
        return byLostEndpoints.get(endpoints - 1);
    }

    /** Returns the subjects with at least so many lost endpoints; the last change of each group last. */
    Map<Long, V> withAtLeast(int endpoints) {
        Map<Long, V> subjects = new LinkedHashMap<>();
        for (int i = endpoints - 1; i < CAPACITIES.length; i++) {
            subjects.putAll(byLostEndpoints.get(i));
        }
        return subjects;
    }
}
