package org.dragonflygw.core.storenews;

import java.util.List;
import org.dragonflygw.core.evacuation.EvacuationNews;

/**
 * State of one host's copy of the store, sent to the other hosts so that they need not read the store too.
 *
 * @param era era of the store that the versions belong to, or {@link StoreEra#UNKNOWN}
 * @param reachable whether the host's own last reads of the store were answered
 * @param endpointsVersion version up to which the host's list of endpoints is complete; 0 if it has none
 * @param endpointsAgeMs time since that version was known to be the newest, in milliseconds; -1 if there is no list
 * @param completeFrom version after which {@code changes} contains every change
 * @param changes latest changes of the list of endpoints, oldest first
 * @param configuration state of the configuration
 * @param evacuations the evacuated availability zones, as recent as the configuration
 */
public record StoreNews(
        long era,
        boolean reachable,
        long endpointsVersion,
        long endpointsAgeMs,
        long completeFrom,
        List<EndpointChange> changes,
        ConfigurationNews configuration,
        EvacuationNews evacuations) {
    /** News of a host that has read nothing. */
    public static final StoreNews NONE =
            new StoreNews(StoreEra.UNKNOWN, false, 0, -1, 0, List.of(), ConfigurationNews.NONE, EvacuationNews.UNKNOWN);

    public StoreNews {
        changes = List.copyOf(changes);
    }
}
