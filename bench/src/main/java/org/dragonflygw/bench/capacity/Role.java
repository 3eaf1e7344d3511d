package org.dragonflygw.bench.capacity;

import java.util.List;

/**
 * One role of a daemon, with its costs.
 *
 * @param name name of the role
 * @param mechanism mechanism that implements the role at the target fleet size
 * @param rows state, messages, CPU time and memory of the role
 */
record Role(String name, String mechanism, List<CapacityRow> rows) {
    Role {
        rows = List.copyOf(rows);
    }
}
