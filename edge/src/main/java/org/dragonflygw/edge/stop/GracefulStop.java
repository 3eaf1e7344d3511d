package org.dragonflygw.edge.stop;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.edge.front.FrontState;

/**
 * Stops the process without cutting responses. The process reports not ready immediately and keeps serving until the
 * balancer has noticed. It then closes the port for callers and idle connections, since a later request might not be
 * answered before the process is killed. The stop ends when no request is open, or shortly before the process would be
 * killed.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close is reported as the end of the connection.
public final class GracefulStop {
    /**
     * Time in milliseconds for which new connections are accepted: the balancer needs two failed checks that are one
     * second apart, plus a margin.
     */
    private static final long BALANCER_LAG_MS = 2_900;

    /**
     * Time in milliseconds before the kill at which what is still open is ended. The last responses and log lines are
     * written then, on a host that may have a quarter of a core, of which a burst uses up the quota.
     */
    private static final long END_MARGIN_MS = 900;

    /** Time in milliseconds before the kill at which the process ends even if its event loop does not get to it. */
    private static final long LOOP_MARGIN_MS = 700;

    /** Longest time in milliseconds for writing the last responses. */
    private static final long WRITE_MS = 150;

    private static final long CHECK_MS = 50;

    private final EventLoop loop;
    private final FrontState frontState;
    private final EventLog log;
    private final long graceMs;
    private final Runnable closePort;
    private final CountDownLatch done = new CountDownLatch(1);
    private long startNanos;
    private boolean portClosed;

    /**
     * Creates a stop; {@link #run} performs it.
     *
     * @param graceMs time between the signal to stop and the kill, in milliseconds
     * @param closePort closes the port for callers
     */
    public GracefulStop(EventLoop loop, FrontState frontState, EventLog log, long graceMs, Runnable closePort) {
        this.loop = loop;
        this.frontState = frontState;
        this.log = log;
        this.graceMs = graceMs;
        this.closePort = closePort;
    }

    /** Stops; returns when all responses are written or the grace time is nearly over. */
    public void run() throws InterruptedException {
        startNanos = System.nanoTime();
        loop.execute(() -> {
            frontState.beginStop();
            log.line(LogTopic.STOP)
                    .with("outcome", "stopping")
                    .with("openRequests", frontState.openCalls())
                    .with("connections", frontState.connectionCount())
                    .end();
            check();
        });
        if (!done.await(graceMs - LOOP_MARGIN_MS, TimeUnit.MILLISECONDS)) {
            log.line(LogTopic.STOP).with("outcome", "event loop late").end();
        }
    }

    private void check() {
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        boolean lagOver = elapsedMs >= Math.min(BALANCER_LAG_MS, graceMs / 2);
        if (lagOver) {
            frontState.closeIdle();
        }
        boolean graceOver = elapsedMs >= graceMs - END_MARGIN_MS;
        boolean allAnswered = portClosed && frontState.openCalls() == 0 && frontState.unwrittenResponses() == 0;
        if (lagOver && !portClosed) {
            // Only a later check may end the process, so that a request accepted before the port closed is served.
            portClosed = true;
            closePort.run();
        } else if (graceOver || allAnswered) {
            end(graceOver ? "time over" : "all answered", elapsedMs);
            return;
        }
        loop.schedule(this::check, CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private void end(String outcome, long elapsedMs) {
        log.line(LogTopic.STOP)
                .with("outcome", outcome)
                .with("openRequests", frontState.openCalls())
                .with("unwritten", frontState.unwrittenResponses())
                .with("waitingFor", frontState.waitingFor())
                .with("elapsedMs", elapsedMs)
                .end();
        frontState.endAll();
        if (frontState.unwrittenResponses() == 0) {
            done.countDown();
        } else {
            loop.schedule(done::countDown, WRITE_MS, TimeUnit.MILLISECONDS);
        }
    }
}
