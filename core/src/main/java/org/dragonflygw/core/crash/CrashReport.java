package org.dragonflygw.core.crash;

import java.util.List;

/**
 * What one host reports to its peers about requests that may crash endpoints.
 *
 * @param suspects requests with lost endpoints, with all that are known
 * @param cleared fingerprints of requests that received a complete response after a loss
 */
public record CrashReport(List<CrashSuspect> suspects, List<Long> cleared) {
    /** A report without news. */
    public static final CrashReport NONE = new CrashReport(List.of(), List.of());

    public CrashReport {
        suspects = List.copyOf(suspects);
        cleared = List.copyOf(cleared);
    }
}
