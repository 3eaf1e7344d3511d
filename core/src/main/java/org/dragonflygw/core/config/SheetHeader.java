package org.dragonflygw.core.config;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Header row of a sheet: where each column stands. */
final class SheetHeader {
    private final Map<SheetColumn, Integer> positions;
    private final int size;

    private SheetHeader(Map<SheetColumn, Integer> positions, int size) {
        this.positions = positions;
        this.size = size;
    }

    /** Reads the header row; empty when a column is missing, unknown or there twice. */
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

    int size() {
        return size;
    }

    String cell(String[] cells, SheetColumn column) {
        int position = positions.get(column);
        return position < cells.length ? cells[position].strip() : "";
    }
}
