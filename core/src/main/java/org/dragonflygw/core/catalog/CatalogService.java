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
 */
public record CatalogService(
        String name, String healthPath, int maxConnections, int slots, long cacheTokens, long bytesPerToken) {
    /** Returns whether the endpoints are language model engines. */
    public boolean hasModelEngines() {
        return cacheTokens > 0;
    }
}
