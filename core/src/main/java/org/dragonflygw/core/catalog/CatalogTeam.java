package org.dragonflygw.core.catalog;

import java.util.OptionalInt;

/**
 * One team of the configuration.
 *
 * @param name name of the team
 * @param priority rank of its requests in place of the route's, if it has one
 */
public record CatalogTeam(String name, OptionalInt priority) {}
