package org.dragonflygw.core.config;

import java.util.List;

/** An accepted configuration: everything that operators set. Immutable; rows keep the order of the sheet. */
public record Sheet(List<Team> teams, List<Service> services, List<RoutingRule> rules, List<Placement> placements) {
    /** A sheet without rows; nothing is routed with it. */
    public static final Sheet EMPTY = new Sheet(List.of(), List.of(), List.of(), List.of());

    public Sheet {
        teams = List.copyOf(teams);
        services = List.copyOf(services);
        rules = List.copyOf(rules);
        placements = List.copyOf(placements);
    }
}
