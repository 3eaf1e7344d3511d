package org.dragonflygw.core.config;

import java.util.ArrayList;
import java.util.List;

/** Typed rows of a sheet that is being read, in file order. Not thread-safe. */
final class SheetBuilder {
    final List<NumberedRow<Team>> teams = new ArrayList<>();
    final List<NumberedRow<Service>> services = new ArrayList<>();
    final List<NumberedRow<RoutingRule>> rules = new ArrayList<>();
    final List<NumberedRow<Placement>> placements = new ArrayList<>();

    private static final int MAX_WEIGHT = 1000;
    private static final int MAX_REQUESTS_PER_SECOND = 1_000_000;
    private static final double MIN_LOAD_BOUND = 1.01;
    private static final double MAX_LOAD_BOUND = 10;
    private static final int MAX_IN_FLIGHT = 10_000;
    private static final int MAX_QUEUE = 100_000;
    private static final int MAX_DEADLINE_MILLIS = 3_600_000;
    private static final int MAX_TOKEN_GAP_MILLIS = 600_000;
    private static final int MAX_PERCENT = 100;
    private static final int MAX_PRIORITY = 9;
    private static final int MAX_ENGINES = 10_000;

    void add(int row, RowKind kind, RowFields fields) {
        fields.checkUnusedColumns();
        switch (kind) {
            case TEAM -> teams.add(new NumberedRow<>(row, team(fields)));
            case SERVICE -> services.add(new NumberedRow<>(row, service(fields)));
            case RULE -> rules.add(new NumberedRow<>(row, rule(fields)));
            case PLACEMENT -> placements.add(new NumberedRow<>(row, placement(fields)));
        }
    }

    Sheet build() {
        return new Sheet(values(teams), values(services), values(rules), values(placements));
    }

    private static Team team(RowFields fields) {
        String name = fields.name(SheetColumn.NAME);
        String key = fields.sha256(SheetColumn.KEY_SHA256);
        int weight = fields.integer(SheetColumn.WEIGHT, 1, MAX_WEIGHT);
        int rate = fields.integerOr(SheetColumn.REQUESTS_PER_SECOND, 0, MAX_REQUESTS_PER_SECOND, 0);
        int burst = fields.integerOr(SheetColumn.BURST, 0, MAX_REQUESTS_PER_SECOND, rate);
        if (rate > 0 && burst == 0) {
            fields.addProblem(SheetColumn.BURST, "must be at least 1 when requests_per_second is set");
        }
        return new Team(name, key, weight, rate, burst);
    }

    private static Service service(RowFields fields) {
        ServiceKind kind = fields.serviceKind();
        boolean plain = kind == ServiceKind.PLAIN;
        if (plain && !fields.text(SheetColumn.MODEL).isEmpty()) {
            fields.addProblem(SheetColumn.MODEL, "must be empty for a plain service");
        }
        return new Service(
                fields.name(SheetColumn.NAME),
                kind,
                fields.name(SheetColumn.POOL),
                plain ? "" : fields.name(SheetColumn.MODEL),
                fields.decimal(SheetColumn.LOAD_BOUND, MIN_LOAD_BOUND, MAX_LOAD_BOUND),
                fields.integer(SheetColumn.MAX_IN_FLIGHT, 1, MAX_IN_FLIGHT),
                fields.integer(SheetColumn.MAX_QUEUE, 0, MAX_QUEUE),
                fields.integer(SheetColumn.DEADLINE_MILLIS, 1, MAX_DEADLINE_MILLIS),
                plain
                        ? fields.integerOr(SheetColumn.TOKEN_GAP_MILLIS, 0, MAX_TOKEN_GAP_MILLIS, 0)
                        : fields.integer(SheetColumn.TOKEN_GAP_MILLIS, 1, MAX_TOKEN_GAP_MILLIS),
                fields.integer(SheetColumn.RETRY_BUDGET_PERCENT, 0, MAX_PERCENT),
                fields.bool(SheetColumn.CHECKS_FENCING));
    }

    private static RoutingRule rule(RowFields fields) {
        return new RoutingRule(
                fields.teamOrAny(SheetColumn.TEAM),
                fields.name(SheetColumn.MODEL),
                fields.name(SheetColumn.SERVICE),
                fields.integer(SheetColumn.PRIORITY, 0, MAX_PRIORITY));
    }

    private static Placement placement(RowFields fields) {
        return new Placement(
                fields.name(SheetColumn.POOL),
                fields.name(SheetColumn.MODEL),
                fields.name(SheetColumn.VERSION),
                fields.optionalName(SheetColumn.ADAPTER),
                fields.integer(SheetColumn.ENGINES, 0, MAX_ENGINES));
    }

    private static <T> List<T> values(List<NumberedRow<T>> rows) {
        return rows.stream().map(NumberedRow::value).toList();
    }
}
