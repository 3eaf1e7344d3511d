package org.dragonflygw.core.storenews;

import java.util.List;

/**
 * State of the configuration on one host, as reported to the other hosts.
 *
 * @param rowVersion row version of the host's configuration; 0 if it has none
 * @param configVersion version of the configuration in force; 0 if there is none. It may be newer than the row's after
 *     the store came back from a copy
 * @param ageMs time since that row was known to be the newest, in milliseconds; -1 if unknown
 * @param updates latest small changes, oldest first
 */
public record ConfigurationNews(long rowVersion, long configVersion, long ageMs, List<CatalogUpdate> updates) {
    /** News of a host that has no configuration. */
    public static final ConfigurationNews NONE = new ConfigurationNews(0, 0, -1, List.of());

    public ConfigurationNews {
        updates = List.copyOf(updates);
    }
}
