package org.dragonflygw.bench.ledger;

import org.dragonflygw.core.ledger.CommitLimits;

/**
 * One measurement of the ledger.
 *
 * @param name name of the row
 * @param daemons ledgers that share the table service
 * @param claimsPerSecond claims offered a second, by all daemons together
 * @param seconds length
 * @param writesPerSecond transactions that the table service takes a second
 * @param commits bounds of the group commit
 * @param intervalMillis time between two transactions of a daemon, in milliseconds
 */
record LedgerPlan(
        String name,
        int daemons,
        int claimsPerSecond,
        int seconds,
        int writesPerSecond,
        CommitLimits commits,
        long intervalMillis) {}
