package org.dragonflygw.standins.loopback;

import java.util.Map;

/** State of a {@link LoopbackStore} at one moment, to which the store can be restored later. */
public final class StoreCopy {
    private final Map<String, Map<String, StoredRow>> tables;
    private final long version;

    StoreCopy(Map<String, Map<String, StoredRow>> tables, long version) {
        this.tables = Map.copyOf(tables);
        this.version = version;
    }

    Map<String, Map<String, StoredRow>> tables() {
        return tables;
    }

    long version() {
        return version;
    }
}
