package org.dragonflygw.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Differences between two sheets by row. The order of rows is left out: among the rules of an accepted sheet at most one
 * names a team and model, and it stands before the rule for every team, so their order changes nothing.
 *
 * @param changes the rows that differ; removed rows first, then changed and added ones in the order of the second sheet
 */
public record SheetDiff(List<RowChange> changes) {
    public SheetDiff {
        changes = List.copyOf(changes);
    }

    /** Compares two sheets. */
    public static SheetDiff between(Sheet before, Sheet after) {
        Map<RowId, SheetRow> old = index(before);
        Map<RowId, SheetRow> now = index(after);
        List<RowChange> changes = new ArrayList<>();
        for (Map.Entry<RowId, SheetRow> entry : old.entrySet()) {
            if (!now.containsKey(entry.getKey())) {
                changes.add(whole(ChangeType.REMOVED, entry.getValue()));
            }
        }
        for (Map.Entry<RowId, SheetRow> entry : now.entrySet()) {
            SheetRow row = entry.getValue();
            SheetRow previous = old.get(entry.getKey());
            if (previous == null) {
                changes.add(whole(ChangeType.ADDED, row));
            } else if (!previous.equals(row)) {
                changes.add(new RowChange(ChangeType.CHANGED, row.kind(), row.key(), cells(previous, row)));
            }
        }
        return new SheetDiff(changes);
    }

    /** Whether the sheets are the same but for the order of their rows. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    private static Map<RowId, SheetRow> index(Sheet sheet) {
        Map<RowId, SheetRow> rows = new LinkedHashMap<>();
        for (SheetRow row : SheetRow.of(sheet)) {
            rows.put(new RowId(row.kind(), row.key()), row);
        }
        return rows;
    }

    private static RowChange whole(ChangeType type, SheetRow row) {
        return new RowChange(type, row.kind(), row.key(), List.of());
    }

    private static List<CellChange> cells(SheetRow before, SheetRow after) {
        List<CellChange> cells = new ArrayList<>();
        for (Map.Entry<SheetColumn, String> cell : after.cells().entrySet()) {
            String old = before.cells().get(cell.getKey());
            if (!cell.getValue().equals(old)) {
                cells.add(new CellChange(cell.getKey(), old, cell.getValue()));
            }
        }
        return cells;
    }

    private record RowId(RowKind kind, String key) {}
}
