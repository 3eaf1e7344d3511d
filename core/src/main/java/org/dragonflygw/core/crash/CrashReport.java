package org.dragonflygw.core.crash;

import java.util.List;

/**
 * What one host reports to its peers about requests that may crash endpoints.
 *
 * @param suspects requests under which several endpoints were lost, as far as the host knows of any host
 * @param losses requests of the host under which one endpoint was lost, by endpoint
 * @param cleared fingerprints of requests that received a complete response after a loss
 */
public record CrashReport(List<CrashSuspect> suspects, List<EndpointLosses> losses, List<Long> cleared) {
    /** A report without news. */
    public static final CrashReport NONE = new CrashReport(List.of(), List.of(), List.of());

    public CrashReport {
        suspects = List.copyOf(suspects);
        losses = List.copyOf(losses);
        cleared = List.copyOf(cleared);
    }
}
