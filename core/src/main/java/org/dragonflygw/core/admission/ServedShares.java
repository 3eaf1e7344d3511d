package org.dragonflygw.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * Counts, while a service is short of room, how many requests asked for it and how many got it: over all requests, and by
 * team, by route and priority, by size and by subject of the prompt. Finds those that are served much less often than all
 * requests. Old counts fade. Not thread-safe.
 */
final class ServedShares {
    /** Time in which counts halve, in nanoseconds; a small host gets a request of each kind every few seconds. */
    private static final double HALF_LIFE_NANOS = 15e9;

    /** Time in which the served count of a team halves that orders the teams, in nanoseconds. */
    private static final double TEAM_HALF_LIFE_NANOS = 4e9;

    /**
     * Served share below which a group starves, as a part of the share of all requests. The rule for the fleet is a
     * quarter; requests that asked but are not decided yet count as not served.
     */
    private static final double STARVING_PART = 0.4;

    /** Number of requests of a group below which nothing can be said about its share. */
    private static final double MIN_ASKED = 2.5;

    /** Largest number of groups; the one that asked the longest time ago is dropped. */
    private static final int MAX_GROUPS = 512;

    private final Map<Long, Group> groups = new LinkedHashMap<>(16, 0.75f, true);
    private final Group all = new Group();

    /** Records that a request asks for room. */
    void onAsked(WaitRequest request, long nowNanos) {
        all.onAsked(nowNanos);
        for (long key : keys(request)) {
            group(key).onAsked(nowNanos);
        }
    }

    /** Records that a request got room. */
    void onServed(WaitRequest request, long nowNanos) {
        all.onServed(nowNanos);
        for (long key : keys(request)) {
            group(key).onServed(nowNanos);
        }
    }

    /** Returns whether a group that the request belongs to is served much less often than all requests. */
    boolean isStarving(WaitRequest request, long nowNanos) {
        double bound = STARVING_PART * all.servedShare(nowNanos);
        for (long key : keys(request)) {
            Group group = groups.get(key);
            if (group != null && group.asked(nowNanos) >= MIN_ASKED && group.servedShare(nowNanos) < bound) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many requests of a team got room in the last seconds. */
    double servedOfTeam(String team, long nowNanos) {
        Group group = groups.get(teamKey(team));
        return group == null ? 0 : group.servedLately(nowNanos);
    }

    private Group group(long key) {
        Group group = groups.computeIfAbsent(key, k -> new Group());
        if (groups.size() > MAX_GROUPS) {
            groups.remove(groups.keySet().iterator().next());
        }
        return group;
    }

    private static long teamKey(String team) {
        return RoutingHash.mix(1, RoutingHash.of(team));
    }

    private static long[] keys(WaitRequest request) {
        int sizeClass = Integer.SIZE - Integer.numberOfLeadingZeros(request.promptTokens());
        return new long[] {
            teamKey(request.team()),
            RoutingHash.mix(2, RoutingHash.mix(RoutingHash.of(request.route()), request.priority())),
            RoutingHash.mix(3, sizeClass),
            RoutingHash.mix(4, request.subject())
        };
    }

    private static final class Group {
        private double asked;
        private double served;
        private double servedLately;
        private long updatedNanos;

        private void decay(long nowNanos) {
            double elapsed = nowNanos - updatedNanos;
            double factor = Math.pow(0.5, elapsed / HALF_LIFE_NANOS);
            asked *= factor;
            served *= factor;
            servedLately *= Math.pow(0.5, elapsed / TEAM_HALF_LIFE_NANOS);
            updatedNanos = nowNanos;
        }

        void onAsked(long nowNanos) {
            decay(nowNanos);
            asked++;
        }

        void onServed(long nowNanos) {
            decay(nowNanos);
            served++;
            servedLately++;
        }

        double asked(long nowNanos) {
            decay(nowNanos);
            return asked;
        }

        double servedLately(long nowNanos) {
            decay(nowNanos);
            return servedLately;
        }

        double servedShare(long nowNanos) {
            decay(nowNanos);
            return asked == 0 ? 0 : served / asked;
        }
    }
}
