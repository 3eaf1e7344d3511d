package org.dragonflygw.core.storenews;

import java.util.List;

/**
 * What a host knows of the configuration.
 *
 * @param rowVersion version of the row that holds its configuration, 0 if it has none
 * @param ageMs time since that row was known to be the newest, in milliseconds, -1 if it is not known
 * @param updates the latest small changes, oldest first
 */
public record ConfigurationNews(long rowVersion, long ageMs, List<CatalogUpdate> updates) {
    /** Of a host that has read nothing. */
    public static final ConfigurationNews NONE = new ConfigurationNews(0, -1, List.of());

    public ConfigurationNews {
        updates = List.copyOf(updates);
    }
}
