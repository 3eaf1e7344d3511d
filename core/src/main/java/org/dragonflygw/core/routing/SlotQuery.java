package org.dragonflygw.core.routing;

import org.dragonflygw.core.fleet.Endpoint;

/**
 * A question to the steward of an endpoint.
 *
 * @param endpoint endpoint whose slot is wanted
 * @param request request for the slot
 */
public record SlotQuery(Endpoint endpoint, SlotRequest request) {}
