package org.dragonflygw.core.paths;

import org.dragonflygw.core.exchange.EndpointProbe;

/** One round of probes of endpoints of a service. Not thread-safe. */
final class ProbeRound {
    /** Probes without an answer from which a round shows that the paths are lost, if it asked so many. */
    private static final int MIN_FAILED = 2;

    private final long startNanos;
    private final ServicePaths.Suspicion reason;
    private final int asked;
    private int failed;
    private boolean reached;
    private boolean ended;

    ProbeRound(ServicePaths.Suspicion reason, int asked, long startNanos) {
        this.reason = reason;
        this.asked = asked;
        this.startNanos = startNanos;
    }

    long startNanos() {
        return startNanos;
    }

    ServicePaths.Suspicion reason() {
        return reason;
    }

    int asked() {
        return asked;
    }

    int failed() {
        return failed;
    }

    /** Adds a result; returns whether it decides the round. Results after the end are ignored. */
    boolean add(EndpointProbe.Result result) {
        if (ended) {
            return false;
        }
        if (result == EndpointProbe.Result.ALIVE) {
            reached = true;
        } else {
            failed++;
        }
        return reached || failed == asked;
    }

    void end() {
        ended = true;
    }

    /** Returns whether an endpoint accepted a connection. */
    boolean reached() {
        return reached;
    }

    /** Returns whether enough endpoints were probed in vain. */
    boolean showsLoss() {
        return !reached && failed >= Math.min(MIN_FAILED, asked);
    }
}
