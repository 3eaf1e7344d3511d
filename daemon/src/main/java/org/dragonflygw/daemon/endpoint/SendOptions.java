package org.dragonflygw.daemon.endpoint;

import java.util.function.BooleanSupplier;

/**
 * How a request is sent.
 *
 * @param freshConnection whether to use a new connection, so that a connection that the endpoint closed meanwhile cannot
 *     make the outcome uncertain
 * @param maySend asked once on a connection, directly before the first byte is written
 */
public record SendOptions(boolean freshConnection, BooleanSupplier maySend) {
    /** Sends in any case, on any connection. */
    public static final SendOptions REUSE = new SendOptions(false, () -> true);

    /** Sends in any case, on a new connection. */
    public static final SendOptions FRESH = new SendOptions(true, () -> true);
}
