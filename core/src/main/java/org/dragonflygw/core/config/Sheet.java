package org.dragonflygw.core.config;

import java.util.List;

/** Parsed configuration sheet, with all rows that operators wrote. Immutable; each list keeps the order of the file. */
public record Sheet(List<Team> teams, List<Service> services, List<RoutingRule> rules, List<Placement> placements) {
    /** Sheet without rows; routes no requests. */
    public static final Sheet EMPTY = new Sheet(List.of(), List.of(), List.of(), List.of());

    public Sheet {
        teams = List.copyOf(teams);
        services = List.copyOf(services);
        rules = List.copyOf(rules);
        placements = List.copyOf(placements);
    }
}
