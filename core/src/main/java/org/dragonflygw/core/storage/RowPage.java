package org.dragonflygw.core.storage;

import java.util.List;

/**
 * The answer to a read of rows.
 *
 * @param rows the rows in order
 * @param newestVersion version up to which the read is complete
 * @param more whether further rows follow
 */
public record RowPage(List<VersionedRow> rows, long newestVersion, boolean more) {
    public RowPage {
        rows = List.copyOf(rows);
    }
}
