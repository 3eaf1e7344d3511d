package org.dragonflygw.daemon.stop;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;
import org.dragonflygw.daemon.caller.OpenRequests;
import org.dragonflygw.wire.settings.RouterSettings;

/**
 * Stops a daemon without cutting off a request. The daemon reports not ready at once, keeps accepting requests until
 * the load balancer has noticed, hands its duties over to other daemons, and finishes its open requests. Thread-safe;
 * the stop runs on the thread that calls {@link #run}.
 */
@Singleton
public final class PlannedStop {
    private static final Logger LOG = LogManager.getLogger(PlannedStop.class);
    private static final long PROGRESS_INTERVAL_MILLIS = 1_000;
    private static final long RECHECK_DELAY_MILLIS = 100;

    private final OpenRequests openRequests;
    private final Set<StopStep> steps;
    private final EventRecorder events;
    private final Clock clock;
    private final long balancerLagMillis;
    private final long timeoutMillis;
    private volatile State state = new State(StopPhase.RUNNING, "", Instant.EPOCH);

    @Inject
    public PlannedStop(
            OpenRequests openRequests,
            Set<StopStep> steps,
            EventRecorder events,
            Clock clock,
            RouterSettings settings) {
        this.openRequests = openRequests;
        this.steps = steps;
        this.events = events;
        this.clock = clock;
        this.balancerLagMillis = settings.getBalancerLagMillis();
        this.timeoutMillis = settings.getStopTimeoutMillis();
    }

    /** The progress of the stop. */
    public StopProgress progress() {
        State current = state;
        long elapsedMillis = current.phase() == StopPhase.RUNNING
                ? 0
                : Duration.between(current.askedAt(), clock.instant()).toMillis();
        return new StopProgress(current.phase(), current.detail(), openRequests.count(), elapsedMillis);
    }

    /**
     * Runs the stop and returns when the process may exit. A second call returns false at once.
     *
     * @return whether every open request ended within the time limit
     */
    public boolean run() throws InterruptedException {
        synchronized (this) {
            if (state.phase() != StopPhase.RUNNING) {
                return false;
            }
            state = new State(StopPhase.WAITING_FOR_BALANCER, balancerLagMillis + " ms", clock.instant());
        }
        events.record(EventType.STOP_STARTED, EventSubject.NONE, openRequests.count() + " open requests");
        LOG.info("planned stop started with {} open requests", openRequests.count());
        waitForBalancer();
        handOver();
        boolean finished = awaitOpenRequests();
        setState(finished ? StopPhase.FINISHED : StopPhase.TIMED_OUT, openRequests.count() + " open requests");
        events.record(EventType.STOP_FINISHED, EventSubject.NONE, state.phase().name());
        return finished;
    }

    private void waitForBalancer() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(balancerLagMillis);
        long remainingMillis = balancerLagMillis;
        while (remainingMillis > 0) {
            Thread.sleep(Math.min(remainingMillis, PROGRESS_INTERVAL_MILLIS));
            remainingMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            setState(StopPhase.WAITING_FOR_BALANCER, Math.max(0, remainingMillis) + " ms left");
        }
    }

    private void handOver() {
        for (StopStep step : steps) {
            setState(StopPhase.HANDING_OVER, step.name());
            try {
                step.run(detail -> setState(StopPhase.HANDING_OVER, step.name() + ": " + detail));
            } catch (RuntimeException e) {
                LOG.error("planned stop: step {} failed", step.name(), e);
            }
        }
    }

    /**
     * Waits until no request is open and none has been opened 100 ms later, because a request may just have been
     * accepted.
     */
    private boolean awaitOpenRequests() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < endNanos) {
            setState(StopPhase.FINISHING_REQUESTS, openRequests.count() + " open requests");
            if (openRequests.awaitNone(Duration.ofMillis(PROGRESS_INTERVAL_MILLIS))) {
                Thread.sleep(RECHECK_DELAY_MILLIS);
                if (openRequests.count() == 0) {
                    return true;
                }
            }
        }
        return openRequests.count() == 0;
    }

    private void setState(StopPhase phase, String detail) {
        State previous = state;
        state = new State(phase, detail, previous.askedAt());
        if (previous.phase() != phase || !previous.detail().equals(detail)) {
            LOG.info("planned stop: {} {}", phase, detail);
            events.record(EventType.STOP_PROGRESS, EventSubject.NONE, phase + " " + detail);
        }
    }

    private record State(StopPhase phase, String detail, Instant askedAt) {}
}
