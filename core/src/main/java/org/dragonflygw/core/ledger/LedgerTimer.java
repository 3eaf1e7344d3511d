package org.dragonflygw.core.ledger;

/** Runs tasks later. */
@FunctionalInterface
public interface LedgerTimer {
    /** Runs the task once after the delay, on a thread that may call the table service. */
    void schedule(long delayMillis, Runnable task);
}
