package org.dragonflygw.core.storage;

import java.util.List;

/**
 * One page of a read of rows.
 *
 * @param rows rows in the order of the read
 * @param newestVersion transaction version up to which the rows are complete
 * @param more whether further pages follow
 */
public record RowPage(List<VersionedRow> rows, long newestVersion, boolean more) {
    public RowPage {
        rows = List.copyOf(rows);
    }
}
