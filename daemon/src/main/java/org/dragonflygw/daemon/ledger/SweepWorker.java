package org.dragonflygw.daemon.ledger;

import com.codahale.metrics.Counter;
import io.dropwizard.lifecycle.Managed;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.ledger.RetentionSweeper;
import org.dragonflygw.core.storage.StorageException;

/** Deletes expired submissions in the background, every 500 ms while it finds some and every 5 s otherwise. */
public final class SweepWorker implements Managed {
    private static final Logger LOG = LogManager.getLogger(SweepWorker.class);
    private static final long BUSY_INTERVAL_MILLIS = 500;
    private static final long IDLE_INTERVAL_MILLIS = 5_000;

    private final RetentionSweeper sweeper;
    private final Counter swept;
    private final ScheduledExecutorService pool;

    public SweepWorker(RetentionSweeper sweeper, Counter swept) {
        this.sweeper = sweeper;
        this.swept = swept;
        pool = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "ledger-sweep");
            thread.setDaemon(true);
            return thread;
        });
    }

    @Override
    public void start() {
        scheduleNext(IDLE_INTERVAL_MILLIS);
    }

    @Override
    public void stop() {
        pool.shutdownNow();
    }

    private void sweep() {
        int deleted = 0;
        try {
            deleted = sweeper.sweepPage();
            swept.inc(deleted);
        } catch (StorageException e) {
            LOG.debug("sweep of expired submissions failed", e);
        } finally {
            scheduleNext(deleted > 0 ? BUSY_INTERVAL_MILLIS : IDLE_INTERVAL_MILLIS);
        }
    }

    private void scheduleNext(long delayMillis) {
        if (!pool.isShutdown()) {
            Future<?> unused = pool.schedule(this::sweep, delayMillis, TimeUnit.MILLISECONDS);
        }
    }
}
