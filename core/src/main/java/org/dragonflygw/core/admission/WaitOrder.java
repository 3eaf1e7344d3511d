package org.dragonflygw.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which waiting requests get room: those of groups that starve, then by priority, then by how little the team
 * was served lately, then repeats of refused requests, then by arrival.
 */
final class WaitOrder {
    private static final Comparator<Place> ORDER = Comparator.comparing(Place::starving)
            .reversed()
            .thenComparingInt(p -> p.waiting.request().priority())
            .thenComparingDouble(Place::servedOfTeam)
            .thenComparing(p -> !p.waiting.isRepeat())
            .thenComparingLong(p -> p.waiting.request().arrivedNanos());

    private WaitOrder() {}

    /** Returns the waits with their places, the first to be served first. */
    static List<Place> of(List<Wait> waits, ServedShares shares, long nowNanos) {
        List<Place> places = new ArrayList<>(waits.size());
        for (Wait w : waits) {
            boolean starving = shares.isStarving(w.request(), nowNanos);
            places.add(new Place(w, starving, shares.servedOfTeam(w.request().team(), nowNanos)));
        }
        places.sort(ORDER);
        return places;
    }

    /**
     * A wait with what its place depends on.
     *
     * @param waiting the wait
     * @param starving whether a group of the request is served much less often than all requests
     * @param servedOfTeam how many requests of its team got room lately
     */
    record Place(Wait waiting, boolean starving, double servedOfTeam) {}
}
