package org.dragonflygw.core.dispatch;

import org.dragonflygw.core.admission.Room;
import org.dragonflygw.core.admission.RoomView;
import org.dragonflygw.core.catalog.CatalogService;

/** Sums up the room at the endpoints of a service that take new requests, from the loads that this host knows. */
public final class ServiceRoom implements RoomView {
    private final EndpointLoads loads;

    public ServiceRoom(EndpointLoads loads) {
        this.loads = loads;
    }

    @Override
    public Room of(CatalogService service, long nowNanos) {
        double capacity = 0;
        double load = 0;
        int own = 0;
        for (EndpointLoadState e : loads.ofService(service.name())) {
            if (e.entry().draining() || e.isLeaving() || e.quietNanos(nowNanos) > 0) {
                continue;
            }
            capacity += UsableEndpoints.capacity(service, e);
            load += e.load(nowNanos);
            own += e.inFlight();
        }
        return new Room(capacity, load, own);
    }
}
