package org.dragonflygw.bench.ledger;

import org.dragonflygw.core.ledger.CommitLimits;

/**
 * Parameters of one measurement of the ledger.
 *
 * @param name name of the measurement in the printed table
 * @param daemons number of daemons that share the table service
 * @param claimsPerSecond claims offered per second, summed over all daemons
 * @param seconds length of the measurement, in seconds
 * @param writesPerSecond transactions that the table service accepts per second
 * @param commits limits of the group commit
 * @param intervalMillis interval between transactions of one daemon, in milliseconds
 */
record LedgerPlan(
        String name,
        int daemons,
        int claimsPerSecond,
        int seconds,
        int writesPerSecond,
        CommitLimits commits,
        long intervalMillis) {}
