package org.dragonflygw.core.membership;

import java.time.Instant;

/**
 * Last direct gossip exchange with a daemon.
 *
 * @param at time of the exchange
 * @param sheetNumber number of the sheet that was in force at the other daemon
 */
public record LastExchange(Instant at, long sheetNumber) {
    /** No exchange yet, with the epoch as time. */
    public static final LastExchange NONE = new LastExchange(Instant.EPOCH, 0);
}
