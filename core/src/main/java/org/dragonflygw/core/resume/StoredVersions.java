package org.dragonflygw.core.resume;

import java.util.Map;
import java.util.Set;

/**
 * The rows of the store that hold software versions, as they were read.
 *
 * @param era era of the store, see {@link org.dragonflygw.core.storenews.StoreEra}
 * @param rows versions by the key of the row
 */
public record StoredVersions(long era, Map<String, Set<String>> rows) {
    public StoredVersions {
        rows = Map.copyOf(rows);
    }
}
