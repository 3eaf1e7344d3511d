package org.dragonflygw.edge.stop;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.edge.front.FrontState;

/**
 * Stops the process without cutting answers: it is not ready at once, goes on serving while the balancer learns of it,
 * then closes its port and idle connections, since a request that comes later might not be answered before the kill. It
 * ends when no request is open, or shortly before it would be killed.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Failed writes and closes show as the end of the connection.
public final class GracefulStop {
    /** How long new connections are accepted, in milliseconds: two missed checks a second apart, and some. */
    private static final long BALANCER_LAG_MS = 2_900;

    /** Time before the kill at which the process ends by itself, in milliseconds. */
    private static final long END_MARGIN_MS = 300;

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
     * Makes a stop.
     *
     * @param stopAccepting closes the port for callers
     */
    public GracefulStop(EventLoop loop, FrontState gate, EventLog log, long graceMs, Runnable stopAccepting) {
        this.loop = loop;
        this.frontState = gate;
        this.log = log;
        this.graceMs = graceMs;
        this.closePort = stopAccepting;
    }

    /** Begins to stop; returns when nothing is open any more or the time is over. */
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
        done.await(graceMs, TimeUnit.MILLISECONDS);
    }

    private void check() {
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        boolean lagOver = elapsedMs >= Math.min(BALANCER_LAG_MS, graceMs / 2);
        if (lagOver) {
            frontState.closeIdle();
        }
        boolean timeOver = elapsedMs >= graceMs - END_MARGIN_MS;
        boolean answered = portClosed && frontState.openCalls() == 0 && frontState.unwrittenResponses() == 0;
        if (lagOver && !portClosed) {
            // Only a later check may end the process: a request that was accepted before the port closed is served.
            portClosed = true;
            closePort.run();
        } else if (timeOver || answered) {
            log.line(LogTopic.STOP)
                    .with("outcome", timeOver ? "time over" : "all answered")
                    .with("openRequests", frontState.openCalls())
                    .with("elapsedMs", elapsedMs)
                    .end();
            frontState.closeAll();
            done.countDown();
            return;
        }
        loop.schedule(this::check, CHECK_MS, TimeUnit.MILLISECONDS);
    }
}
