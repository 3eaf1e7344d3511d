package org.dragonflygw.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Row changes between two sheets. The order of rows is ignored: an accepted sheet has at most one rule for each team
 * and model, placed before the rule for every team, so the order has no effect.
 *
 * @param changes rows that differ; removed rows first, then changed and added rows in the order of the second sheet
 */
public record SheetDiff(List<RowChange> changes) {
    public SheetDiff {
        changes = List.copyOf(changes);
    }

    /** Compares two sheets by the kind and key of their rows. */
    public static SheetDiff between(Sheet before, Sheet after) {
        Map<RowId, SheetRow> previousRows = index(before);
        Map<RowId, SheetRow> currentRows = index(after);
        List<RowChange> changes = new ArrayList<>();
        for (Map.Entry<RowId, SheetRow> entry : previousRows.entrySet()) {
            if (!currentRows.containsKey(entry.getKey())) {
                changes.add(rowChange(ChangeType.REMOVED, entry.getValue()));
            }
        }
        for (Map.Entry<RowId, SheetRow> entry : currentRows.entrySet()) {
            SheetRow row = entry.getValue();
            SheetRow previous = previousRows.get(entry.getKey());
            if (previous == null) {
                changes.add(rowChange(ChangeType.ADDED, row));
            } else if (!previous.equals(row)) {
                changes.add(new RowChange(ChangeType.CHANGED, row.kind(), row.key(), cellChanges(previous, row)));
            }
        }
        return new SheetDiff(changes);
    }

    /** Whether the sheets have equal rows; the order of rows may differ. */
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

    private static RowChange rowChange(ChangeType type, SheetRow row) {
        return new RowChange(type, row.kind(), row.key(), List.of());
    }

    private static List<CellChange> cellChanges(SheetRow before, SheetRow after) {
        List<CellChange> changes = new ArrayList<>();
        for (Map.Entry<SheetColumn, String> cell : after.cells().entrySet()) {
            String previous = before.cells().get(cell.getKey());
            if (!cell.getValue().equals(previous)) {
                changes.add(new CellChange(cell.getKey(), previous, cell.getValue()));
            }
        }
        return changes;
    }

    private record RowId(RowKind kind, String key) {}
}
