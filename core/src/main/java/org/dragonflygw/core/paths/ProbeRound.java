package org.dragonflygw.core.paths;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.exchange.EndpointProbe;

/**
 * One round of probes of endpoints of a service. Endpoints that refuse connections may have ended, so further ones are asked
 * before the round shows anything. Not thread-safe.
 */
final class ProbeRound {
    /** Probes without an answer from which a round shows that the paths are lost, if it asked so many. */
    private static final int MIN_FAILED = 2;

    private final long startNanos;
    private final ServicePaths.Suspicion reason;
    private final Deque<EndpointLoadState> further;
    private int asked;
    private int failed;
    private boolean allRefused = true;
    private boolean reached;
    private boolean ended;

    /**
     * Creates a round that has asked no endpoint.
     *
     * @param endpoints the endpoints that may be asked, in order
     */
    ProbeRound(ServicePaths.Suspicion reason, Collection<EndpointLoadState> endpoints, long startNanos) {
        this.reason = reason;
        this.further = new ArrayDeque<>(endpoints);
        this.startNanos = startNanos;
    }

    /** Returns the next endpoints to ask, at most so many. */
    List<EndpointLoadState> next(int count) {
        List<EndpointLoadState> next = new ArrayList<>();
        while (next.size() < count && !further.isEmpty()) {
            next.add(further.poll());
        }
        asked += next.size();
        return next;
    }

    /** Whether all endpoints that were asked have refused, and there are more. */
    boolean mayAskMore() {
        return !ended && !reached && failed == asked && allRefused && !further.isEmpty();
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
            allRefused &= result == EndpointProbe.Result.ENDED;
        }
        return reached || (failed == asked && !mayAskMore());
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
