package org.dragonflygw.core.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Checks that span the rows of a sheet. Each is linear in the number of rows. */
final class SheetValidator {
    private final SheetBuilder rows;
    private final SheetProblems problems;
    private final Map<String, NumberedRow<Team>> teams = new HashMap<>();
    private final Map<String, NumberedRow<Service>> services = new HashMap<>();
    private final Map<String, ServiceKind> poolKinds = new HashMap<>();

    SheetValidator(SheetBuilder rows, SheetProblems problems) {
        this.rows = rows;
        this.problems = problems;
    }

    void validate() {
        requireRows();
        index(rows.teams, SheetColumn.NAME, Team::name, teams);
        index(rows.teams, SheetColumn.KEY_SHA256, Team::keySha256, new HashMap<>());
        index(rows.services, SheetColumn.NAME, Service::name, services);
        checkPools();
        checkRules();
        checkPlacements();
    }

    private void requireRows() {
        if (rows.teams.isEmpty()) {
            problems.add("the sheet has no team rows");
        }
        if (rows.services.isEmpty()) {
            problems.add("the sheet has no service rows");
        }
        if (rows.rules.isEmpty()) {
            problems.add("the sheet has no rule rows");
        }
    }

    private <T> void index(
            Iterable<NumberedRow<T>> source,
            SheetColumn column,
            Function<T, String> keyOf,
            Map<String, NumberedRow<T>> target) {
        for (NumberedRow<T> row : source) {
            String key = keyOf.apply(row.value());
            NumberedRow<T> first = key.isEmpty() ? null : target.putIfAbsent(key, row);
            if (first != null) {
                problems.add(row.row(), column, "is the same as in row " + first.row());
            }
        }
    }

    private void checkPools() {
        for (NumberedRow<Service> row : rows.services) {
            Service service = row.value();
            ServiceKind other = poolKinds.putIfAbsent(service.pool(), service.kind());
            if (other != null && other != service.kind()) {
                problems.add(row.row(), SheetColumn.POOL, "holds both model engines and plain services");
            }
        }
    }

    private void checkRules() {
        Map<String, NumberedRow<RoutingRule>> seen = new HashMap<>();
        for (NumberedRow<RoutingRule> row : rows.rules) {
            RoutingRule rule = row.value();
            checkRuleNames(row);
            NumberedRow<RoutingRule> same = seen.putIfAbsent(ruleKey(rule.team(), rule.model()), row);
            NumberedRow<RoutingRule> any = seen.get(ruleKey(RoutingRule.ANY_TEAM, rule.model()));
            if (same != null) {
                problems.add(row.row(), SheetColumn.TEAM, "overlaps row " + same.row() + ": same team and model");
            } else if (any != null && any.row() != row.row()) {
                problems.add(row.row(), SheetColumn.TEAM, "is never reached: row " + any.row() + " takes every team");
            }
        }
    }

    private void checkRuleNames(NumberedRow<RoutingRule> row) {
        RoutingRule rule = row.value();
        if (!rule.team().equals(RoutingRule.ANY_TEAM) && !teams.containsKey(rule.team())) {
            problems.add(row.row(), SheetColumn.TEAM, "no team has the name \"" + rule.team() + "\"");
        }
        NumberedRow<Service> target = services.get(rule.service());
        if (target == null) {
            problems.add(row.row(), SheetColumn.SERVICE, "no service has the name \"" + rule.service() + "\"");
            return;
        }
        Service service = target.value();
        String expected = service.kind() == ServiceKind.PLAIN ? service.name() : service.model();
        if (!rule.model().equals(expected)) {
            problems.add(row.row(), SheetColumn.MODEL, "must be \"" + expected + "\" for service " + service.name());
        }
    }

    private void checkPlacements() {
        Map<String, Integer> seen = new HashMap<>();
        Set<String> placed = new HashSet<>();
        for (NumberedRow<Placement> row : rows.placements) {
            Placement placement = row.value();
            checkPool(row);
            String model = placement.pool() + '\n' + placement.model();
            String key = model + '\n' + placement.version() + '\n' + placement.adapter();
            Integer first = seen.putIfAbsent(key, row.row());
            if (first != null) {
                problems.add(row.row(), SheetColumn.MODEL, "is placed in the same pool by row " + first);
            }
            placed.add(model);
        }
        for (NumberedRow<Service> row : rows.services) {
            Service service = row.value();
            boolean needsPlacement =
                    service.kind() == ServiceKind.MODEL && !service.model().isEmpty();
            if (needsPlacement && !placed.contains(service.pool() + '\n' + service.model())) {
                problems.add(row.row(), SheetColumn.MODEL, "no placement puts it in pool " + service.pool());
            }
        }
    }

    private void checkPool(NumberedRow<Placement> row) {
        ServiceKind kind = poolKinds.get(row.value().pool());
        if (kind == null) {
            problems.add(
                    row.row(),
                    SheetColumn.POOL,
                    "no service has the pool \"" + row.value().pool() + "\"");
        } else if (kind == ServiceKind.PLAIN) {
            problems.add(row.row(), SheetColumn.POOL, "is a pool of plain services");
        }
    }

    private static String ruleKey(String team, String model) {
        return team + '\n' + model;
    }
}
