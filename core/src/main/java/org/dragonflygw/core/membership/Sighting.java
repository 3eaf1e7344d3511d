package org.dragonflygw.core.membership;

import java.time.Instant;

/**
 * Last direct exchange with a daemon.
 *
 * @param at when
 * @param sheetNumber number of the sheet in force there
 */
public record Sighting(Instant at, long sheetNumber) {
    /** No exchange yet. */
    public static final Sighting NONE = new Sighting(Instant.EPOCH, 0);
}
