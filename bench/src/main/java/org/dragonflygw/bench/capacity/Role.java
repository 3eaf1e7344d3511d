package org.dragonflygw.bench.capacity;

import java.util.List;

/**
 * One role that daemons carry.
 *
 * @param name name of the role
 * @param mechanism mechanism that carries it at the target's size
 * @param rows its state, messages, processor time and memory
 */
record Role(String name, String mechanism, List<CapacityRow> rows) {
    Role {
        rows = List.copyOf(rows);
    }
}
