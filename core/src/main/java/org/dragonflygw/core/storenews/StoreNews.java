package org.dragonflygw.core.storenews;

import java.util.List;

/**
 * What a host has read of the store, told to the others so that they need not read it too.
 *
 * @param reachable whether this host's own last read was answered
 * @param endpointsVersion version up to which it knows the list of endpoints, 0 if it does not
 * @param endpointsAgeMs age of that knowledge in milliseconds, -1 if there is none
 * @param completeFrom version after which {@code changes} hold every change
 * @param changes the latest changes of the list, oldest first
 * @param configuration what it knows of the configuration
 */
public record StoreNews(
        boolean reachable,
        long endpointsVersion,
        long endpointsAgeMs,
        long completeFrom,
        List<EndpointChange> changes,
        ConfigurationNews configuration) {
    /** Of a host that has read nothing. */
    public static final StoreNews NONE = new StoreNews(false, 0, -1, 0, List.of(), ConfigurationNews.NONE);

    public StoreNews {
        changes = List.copyOf(changes);
    }
}
