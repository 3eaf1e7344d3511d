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
 * Stops a daemon without cutting a request: not ready at once, accepting for the lag of the balancer, duties handed
 * over, open requests finished. Safe from every thread; the stop itself runs on the thread that asks for it.
 */
@Singleton
public final class PlannedStop {
    private static final Logger LOG = LogManager.getLogger(PlannedStop.class);
    private static final long REPORT_MILLIS = 1_000;
    private static final long QUIET_MILLIS = 100;

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

    /** How far the stop is. */
    public StopProgress progress() {
        State now = state;
        long elapsedMillis = now.phase() == StopPhase.RUNNING
                ? 0
                : Duration.between(now.askedAt(), clock.instant()).toMillis();
        return new StopProgress(now.phase(), now.detail(), openRequests.count(), elapsedMillis);
    }

    /**
     * Runs the stop; returns when the process may exit. A second call returns at once.
     *
     * @return whether every open request ended
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
        boolean finished = finishRequests();
        enter(finished ? StopPhase.FINISHED : StopPhase.TIMED_OUT, openRequests.count() + " open requests");
        events.record(EventType.STOP_FINISHED, EventSubject.NONE, state.phase().name());
        return finished;
    }

    private void waitForBalancer() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(balancerLagMillis);
        long leftMillis = balancerLagMillis;
        while (leftMillis > 0) {
            Thread.sleep(Math.min(leftMillis, REPORT_MILLIS));
            leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            enter(StopPhase.WAITING_FOR_BALANCER, Math.max(0, leftMillis) + " ms left");
        }
    }

    private void handOver() {
        for (StopStep step : steps) {
            enter(StopPhase.HANDING_OVER, step.name());
            try {
                step.run(detail -> enter(StopPhase.HANDING_OVER, step.name() + ": " + detail));
            } catch (RuntimeException e) {
                LOG.error("stop step {} failed", step.name(), e);
            }
        }
    }

    /** Waits until nothing was open for a short while, because a request may just have been accepted. */
    private boolean finishRequests() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < endNanos) {
            enter(StopPhase.FINISHING_REQUESTS, openRequests.count() + " open requests");
            if (openRequests.awaitNone(Duration.ofMillis(REPORT_MILLIS))) {
                Thread.sleep(QUIET_MILLIS);
                if (openRequests.count() == 0) {
                    return true;
                }
            }
        }
        return openRequests.count() == 0;
    }

    private void enter(StopPhase phase, String detail) {
        State before = state;
        state = new State(phase, detail, before.askedAt());
        if (before.phase() != phase || !before.detail().equals(detail)) {
            LOG.info("planned stop: {} {}", phase, detail);
            events.record(EventType.STOP_PROGRESS, EventSubject.NONE, phase + " " + detail);
        }
    }

    private record State(StopPhase phase, String detail, Instant askedAt) {}
}
