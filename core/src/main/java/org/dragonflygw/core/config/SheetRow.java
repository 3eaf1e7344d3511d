package org.dragonflygw.core.config;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * One row of a sheet in text form. Columns that the kind of row does not use are absent.
 *
 * @param kind kind of the row
 * @param key identity of the row among rows of its kind; see {@link RowChange#row}
 * @param cells texts by column
 */
record SheetRow(RowKind kind, String key, Map<SheetColumn, String> cells) {
    /** All rows of a sheet: teams, services, rules, then placements. */
    static List<SheetRow> of(Sheet sheet) {
        List<SheetRow> rows = new ArrayList<>();
        sheet.teams().forEach(team -> rows.add(of(team)));
        sheet.services().forEach(service -> rows.add(of(service)));
        sheet.rules().forEach(rule -> rows.add(of(rule)));
        sheet.placements().forEach(placement -> rows.add(of(placement)));
        return rows;
    }

    private static SheetRow of(Team team) {
        Map<SheetColumn, String> cells = newCells(RowKind.TEAM);
        cells.put(SheetColumn.NAME, team.name());
        cells.put(SheetColumn.KEY_SHA256, team.keySha256());
        cells.put(SheetColumn.WEIGHT, Integer.toString(team.weight()));
        cells.put(SheetColumn.REQUESTS_PER_SECOND, Integer.toString(team.requestsPerSecond()));
        cells.put(SheetColumn.BURST, Integer.toString(team.burst()));
        return new SheetRow(RowKind.TEAM, team.name(), cells);
    }

    private static SheetRow of(Service service) {
        Map<SheetColumn, String> cells = newCells(RowKind.SERVICE);
        cells.put(SheetColumn.NAME, service.name());
        cells.put(SheetColumn.SERVICE_KIND, service.kind() == ServiceKind.MODEL ? "model" : "plain");
        cells.put(SheetColumn.POOL, service.pool());
        cells.put(SheetColumn.MODEL, service.model());
        cells.put(SheetColumn.LOAD_BOUND, Double.toString(service.loadBound()));
        cells.put(SheetColumn.MAX_IN_FLIGHT, Integer.toString(service.maxInFlight()));
        cells.put(SheetColumn.MAX_QUEUE, Integer.toString(service.maxQueue()));
        cells.put(SheetColumn.DEADLINE_MILLIS, Long.toString(service.deadlineMillis()));
        cells.put(SheetColumn.TOKEN_GAP_MILLIS, Long.toString(service.tokenGapMillis()));
        cells.put(SheetColumn.RETRY_BUDGET_PERCENT, Integer.toString(service.retryBudgetPercent()));
        cells.put(SheetColumn.CHECKS_FENCING, Boolean.toString(service.checksFencing()));
        return new SheetRow(RowKind.SERVICE, service.name(), cells);
    }

    private static SheetRow of(RoutingRule rule) {
        Map<SheetColumn, String> cells = newCells(RowKind.RULE);
        cells.put(SheetColumn.TEAM, rule.team());
        cells.put(SheetColumn.MODEL, rule.model());
        cells.put(SheetColumn.SERVICE, rule.service());
        cells.put(SheetColumn.PRIORITY, Integer.toString(rule.priority()));
        return new SheetRow(RowKind.RULE, rule.team() + " / " + rule.model(), cells);
    }

    private static SheetRow of(Placement placement) {
        Map<SheetColumn, String> cells = newCells(RowKind.PLACEMENT);
        cells.put(SheetColumn.POOL, placement.pool());
        cells.put(SheetColumn.MODEL, placement.model());
        cells.put(SheetColumn.VERSION, placement.version());
        cells.put(SheetColumn.ADAPTER, placement.adapter());
        cells.put(SheetColumn.ENGINES, Integer.toString(placement.engines()));
        String key = placement.pool() + " / " + placement.model() + " / " + placement.version();
        return new SheetRow(
                RowKind.PLACEMENT, placement.adapter().isEmpty() ? key : key + " / " + placement.adapter(), cells);
    }

    private static Map<SheetColumn, String> newCells(RowKind kind) {
        Map<SheetColumn, String> cells = new EnumMap<>(SheetColumn.class);
        cells.put(SheetColumn.KIND, kind.columnValue());
        return cells;
    }
}
