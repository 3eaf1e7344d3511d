package org.dragonflygw.core.membership;

import java.time.Instant;

/**
 * Last direct exchange with a daemon.
 *
 * @param at when
 * @param sheetNumber number of the sheet in force there
 */
public record LastExchange(Instant at, long sheetNumber) {
    /** No exchange yet. */
    public static final LastExchange NONE = new LastExchange(Instant.EPOCH, 0);
}
