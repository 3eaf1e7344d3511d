package org.dragonflygw.core.config;

/**
 * Sends the requests of a team for a model to a service. The first matching rule in sheet order wins.
 *
 * @param team team name, or {@link #ANY_TEAM}
 * @param model model name, or the name of a plain service
 * @param service service that takes the request
 * @param priority priority at the engine, 0 (lowest) to 9
 */
public record RoutingRule(String team, String model, String service, int priority) {
    /** Matches every team. */
    public static final String ANY_TEAM = "*";
}
