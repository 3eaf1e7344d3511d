package org.dragonflygw.standins.loopback;

import java.util.List;

/**
 * Response of the {@link LoopbackStore} to a read.
 *
 * @param era number of times that the store came back from a copy
 * @param rows rows of the table
 * @param version store version that the rows were read at
 */
record StorePage(long era, List<StoredRow> rows, long version) {
    StorePage {
        rows = List.copyOf(rows);
    }
}
