package org.dragonflygw.daemon.ledger;

import io.dropwizard.lifecycle.Managed;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.ledger.LedgerTimer;

/**
 * Thread pool for the tasks of the ledger: timeouts of waiting submissions, polls of claims of other daemons, and
 * storing and reading of long answers.
 */
public final class LedgerTaskPool implements LedgerTimer, Managed {
    private static final Logger LOG = LogManager.getLogger(LedgerTaskPool.class);
    private static final int THREADS = 4;

    private final ScheduledExecutorService pool;

    public LedgerTaskPool() {
        pool = Executors.newScheduledThreadPool(THREADS, task -> {
            Thread thread = new Thread(task, "ledger-task");
            thread.setDaemon(true);
            return thread;
        });
    }

    @Override
    public void schedule(long delayMillis, Runnable task) {
        try {
            Future<?> unused = pool.schedule(() -> runLogged(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("ledger task dropped because the pool is stopped", e);
        }
    }

    @Override
    public void stop() {
        pool.shutdownNow();
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("ledger task failed", e);
        }
    }
}
