package org.dragonflygw.standins.engine;

import java.util.List;

/**
 * Load of an engine at one point in time.
 *
 * @param sequence sequence number, increased by each report
 * @param inFlight number of running streams
 * @param queued number of waiting streams
 * @param waitMillis expected wait of a new request before its prefill, in milliseconds
 * @param tokensPerSecond tokens generated per second at the current batch size
 * @param leaving whether the engine is leaving
 * @param loaded models that the engine has loaded
 */
public record LoadReport(
        long sequence,
        int inFlight,
        int queued,
        long waitMillis,
        long tokensPerSecond,
        boolean leaving,
        List<LoadedModel> loaded) {
    public LoadReport {
        loaded = List.copyOf(loaded);
    }
}
