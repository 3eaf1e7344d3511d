package org.dragonflygw.core.routing;

import org.dragonflygw.core.fleet.Endpoint;

/**
 * A slot request and the endpoint to whose steward it is sent.
 *
 * @param endpoint endpoint on which a slot is requested
 * @param request the slot request
 */
public record SlotQuery(Endpoint endpoint, SlotRequest request) {}
