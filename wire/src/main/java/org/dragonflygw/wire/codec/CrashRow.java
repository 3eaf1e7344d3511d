package org.dragonflygw.wire.codec;

import java.util.List;
import org.dragonflygw.core.crash.CrashSuspect;

/**
 * Row of the store in which a host keeps requests that may crash endpoints.
 *
 * @param writtenMs Unix time at which the row was written, in milliseconds
 * @param suspects the requests
 */
public record CrashRow(long writtenMs, List<CrashSuspect> suspects) {
    public CrashRow {
        suspects = List.copyOf(suspects);
    }
}
