package org.dragonflygw.core.catalog;

/**
 * One service of the configuration.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections largest number of connections that one endpoint accepts from all clients together
 * @param slots number of requests that one endpoint runs concurrently; 0 if not configured
 * @param cacheTokens capacity of one engine's prompt cache, in tokens; 0 for plain services
 * @param bytesPerToken bytes transferred per cached token when engines fetch from each other; 0 if they cannot
 * @param warmupMs time for which an endpoint stays cold after its start, in milliseconds; 0 if it is warm at once
 * @param warmupPerSecond requests per second that a cold endpoint tolerates from all hosts; 0 for no limit
 */
public record CatalogService(
        String name,
        String healthPath,
        int maxConnections,
        int slots,
        long cacheTokens,
        long bytesPerToken,
        long warmupMs,
        double warmupPerSecond) {
    /** Creates a service whose endpoints are warm at once. */
    public CatalogService(
            String name, String healthPath, int maxConnections, int slots, long cacheTokens, long bytesPerToken) {
        this(name, healthPath, maxConnections, slots, cacheTokens, bytesPerToken, 0, 0);
    }

    /** Returns whether the endpoints are language model engines. */
    public boolean hasModelEngines() {
        return cacheTokens > 0;
    }

    /** Returns whether cold endpoints take a limited rate of requests. */
    public boolean limitsColdEndpoints() {
        return warmupMs > 0 && warmupPerSecond > 0;
    }
}
