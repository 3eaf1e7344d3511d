package org.dragonflygw.daemon.inspect;

import com.google.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import java.util.List;
import org.dragonflygw.core.inspect.RequestView;

/** Operators' interface for the open requests of this daemon. */
@Path("/v1/requests")
@Produces(MediaType.APPLICATION_JSON)
public final class RequestsResource {
    private final RequestMonitor monitor;

    @Inject
    public RequestsResource(RequestMonitor monitor) {
        this.monitor = monitor;
    }

    /** The open requests, in no particular order. */
    @GET
    public List<RequestView> requests() {
        return monitor.openRequests();
    }
}
