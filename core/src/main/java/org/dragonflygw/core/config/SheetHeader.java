package org.dragonflygw.core.config;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Header row of a sheet: the position of each column. */
final class SheetHeader {
    private final Map<SheetColumn, Integer> positions;
    private final int size;

    private SheetHeader(Map<SheetColumn, Integer> positions, int size) {
        this.positions = positions;
        this.size = size;
    }

    /** Parses the header row; empty if a column is missing, unknown or duplicate. */
    static Optional<SheetHeader> read(String[] cells, SheetProblems problems) {
        Map<SheetColumn, Integer> positions = new EnumMap<>(SheetColumn.class);
        int problemsBefore = problems.count();
        for (int i = 0; i < cells.length; i++) {
            String name = cells[i].strip();
            Optional<SheetColumn> column = SheetColumn.of(name);
            if (column.isEmpty()) {
                problems.add(1, name, "unknown column");
            } else if (positions.put(column.get(), i) != null) {
                problems.add(1, name, "column is there twice");
            }
        }
        for (SheetColumn column : SheetColumn.values()) {
            if (!positions.containsKey(column)) {
                problems.add(1, column, "column is missing");
            }
        }
        return problems.count() > problemsBefore
                ? Optional.empty()
                : Optional.of(new SheetHeader(positions, cells.length));
    }

    /** Number of cells in the header row. */
    int size() {
        return size;
    }

    /** Text of the column in the given row without surrounding white space; empty if the row is too short. */
    String cell(String[] cells, SheetColumn column) {
        int position = positions.get(column);
        return position < cells.length ? cells[position].strip() : "";
    }
}
