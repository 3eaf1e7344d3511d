package org.dragonflygw.core.config;

/**
 * Rule row of a sheet: routes the requests of a team for a model to a service. The first matching rule in sheet order
 * wins.
 *
 * @param team team name, or {@link #ANY_TEAM}
 * @param model model name, or the name of a plain service
 * @param service name of the service that serves the request
 * @param priority priority at the engine, 0 (lowest) to 9
 */
public record RoutingRule(String team, String model, String service, int priority) {
    /** Value of {@code team} that matches every team. */
    public static final String ANY_TEAM = "*";
}
