package org.dragonflygw.core.config;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Change of one row between two sheets.
 *
 * @param type whether the row was added, removed or changed
 * @param kind kind of the row
 * @param row identity of the row among rows of its kind: the name of a team or service, the team and model of a rule,
 *     or the pool, model, version and adapter of a placement
 * @param cells cells that differ; empty for added and removed rows
 */
public record RowChange(ChangeType type, RowKind kind, String row, List<CellChange> cells) {
    public RowChange {
        cells = List.copyOf(cells);
    }

    /** One line for operators, for example {@code changed team clerks: weight 3 -> 9}. */
    @Override
    public String toString() {
        String line = type.name().toLowerCase(Locale.ROOT) + " " + kind.columnValue() + " " + row;
        if (cells.isEmpty()) {
            return line;
        }
        return cells.stream()
                .map(cell -> cell.column().header() + " " + cell.before() + " -> " + cell.after())
                .collect(Collectors.joining(", ", line + ": ", ""));
    }
}
