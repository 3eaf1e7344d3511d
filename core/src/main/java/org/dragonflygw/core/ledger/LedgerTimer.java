package org.dragonflygw.core.ledger;

/** Schedules delayed tasks of the ledger. */
@FunctionalInterface
public interface LedgerTimer {
    /** Runs the task once after the delay, on a thread that may block on the table service. */
    void schedule(long delayMillis, Runnable task);
}
