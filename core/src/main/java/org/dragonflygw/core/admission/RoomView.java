package org.dragonflygw.core.admission;

import org.dragonflygw.core.catalog.CatalogService;

/** Sums up the room at the endpoints of a service. */
public interface RoomView {
    /** Returns the room at the endpoints that take new requests. */
    Room of(CatalogService service, long nowNanos);
}
