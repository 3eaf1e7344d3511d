package org.dragonflygw.core.catalog;

import java.util.OptionalInt;

/**
 * One team of the configuration.
 *
 * @param name name of the team
 * @param priority priority of the team's requests, which overrides that of the route; may be empty
 */
public record CatalogTeam(String name, OptionalInt priority) {}
