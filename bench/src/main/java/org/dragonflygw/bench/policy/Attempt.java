package org.dragonflygw.bench.policy;

import java.util.HashSet;
import java.util.Set;

/** One request on its way, with all its attempts. */
final class Attempt {
    private final Arrival arrival;
    private final int router;
    private final Set<String> excluded = new HashSet<>();
    private int number = 1;
    private int generation;
    private int reused;
    private long firstTokenAt;
    private long endAt;
    private boolean lost;
    private Object grant;

    Attempt(Arrival arrival, int router) {
        this.arrival = arrival;
        this.router = router;
    }

    Arrival arrival() {
        return arrival;
    }

    int router() {
        return router;
    }

    String requestId() {
        return "r" + arrival.id() + "-" + router;
    }

    Set<String> excluded() {
        return excluded;
    }

    int number() {
        return number;
    }

    /** Changes with each dispatch, so that events of an earlier one are recognised. */
    int generation() {
        return generation;
    }

    void dispatched() {
        generation++;
    }

    void started(int reusedTokens, long firstToken, long end) {
        reused = reusedTokens;
        firstTokenAt = firstToken;
        endAt = end;
    }

    void retry(String failedEngine, boolean engineLost) {
        excluded.add(failedEngine);
        number++;
        lost |= engineLost;
    }

    boolean wasLost() {
        return lost;
    }

    int reused() {
        return reused;
    }

    long firstTokenAt() {
        return firstTokenAt;
    }

    long endAt() {
        return endAt;
    }

    Object grant() {
        return grant;
    }

    void setGrant(Object newGrant) {
        grant = newGrant;
    }
}
