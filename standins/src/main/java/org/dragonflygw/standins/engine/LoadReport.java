package org.dragonflygw.standins.engine;

import java.util.List;

/**
 * Load of an engine at one time.
 *
 * @param sequence grows with each report
 * @param inFlight streams that run
 * @param queued streams that wait
 * @param waitMillis expected wait of a new request before its prefill, in milliseconds
 * @param tokensPerSecond tokens generated a second at this batch size
 * @param leaving whether the engine is leaving
 * @param loaded models that it holds
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
