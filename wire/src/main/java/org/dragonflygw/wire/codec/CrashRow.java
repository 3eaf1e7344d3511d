package org.dragonflygw.wire.codec;

import org.dragonflygw.core.crash.StoredCrashes;

/**
 * Row of the store in which a host keeps what may crash endpoints.
 *
 * @param writtenMs Unix time at which the row was written, in milliseconds
 * @param content what the host knows
 */
public record CrashRow(long writtenMs, StoredCrashes content) {}
