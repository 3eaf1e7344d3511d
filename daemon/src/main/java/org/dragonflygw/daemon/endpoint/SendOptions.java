package org.dragonflygw.daemon.endpoint;

import java.util.function.BooleanSupplier;

/**
 * Options for sending a request to an endpoint.
 *
 * @param freshConnection whether to open a new connection; a reused one may have been closed by the endpoint in the
 *     meantime, which would make the outcome of the request uncertain
 * @param maySend called once on a connection, directly before the first byte is written; the request is not sent when
 *     it returns false
 */
public record SendOptions(boolean freshConnection, BooleanSupplier maySend) {
    /** Sends unconditionally, on a reused connection if there is one. */
    public static final SendOptions REUSE = new SendOptions(false, () -> true);

    /** Sends unconditionally, on a new connection. */
    public static final SendOptions FRESH = new SendOptions(true, () -> true);
}
