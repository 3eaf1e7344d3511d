package org.dragonflygw.core.catalog;

/**
 * One service of the configuration.
 *
 * @param name name of the service
 * @param healthPath path of its health check
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param slots requests that one endpoint runs at once; 0 if the configuration does not say
 * @param cacheTokens tokens that one engine's memory holds; 0 for plain services
 * @param bytesPerToken size of a cached token when engines fetch it from each other; 0 if they cannot
 */
public record CatalogService(
        String name, String healthPath, int maxConnections, int slots, long cacheTokens, long bytesPerToken) {
    /** Whether its endpoints are language model engines. */
    public boolean hasModelEngines() {
        return cacheTokens > 0;
    }
}
