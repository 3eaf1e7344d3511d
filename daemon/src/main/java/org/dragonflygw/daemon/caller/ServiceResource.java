package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HEAD;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.InputStream;
import org.dragonflygw.core.config.ServiceKind;
import org.dragonflygw.core.config.Team;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.request.RequestContextFactory;
import org.dragonflygw.core.request.RequestException;
import org.dragonflygw.core.request.RequestHeaders;
import org.dragonflygw.core.request.Route;
import org.dragonflygw.core.request.SheetIndex;

/** Callers' interface for calls to plain services. Each method forwards the call to an endpoint of the service. */
@Path("/services/{name}{path: (/.*)?}")
@Consumes(MediaType.WILDCARD)
public final class ServiceResource {
    private final SheetIndexCache indexes;
    private final BodyReader bodies;
    private final RequestContextFactory contexts;
    private final RequestRunner runner;
    private final PlainAttempts attempts;

    @Inject
    public ServiceResource(
            SheetIndexCache indexes,
            BodyReader bodies,
            RequestContextFactory contexts,
            RequestRunner runner,
            PlainAttempts attempts) {
        this.indexes = indexes;
        this.bodies = bodies;
        this.contexts = contexts;
        this.runner = runner;
        this.attempts = attempts;
    }

    @GET
    public Response get(
            @PathParam("name") String name, @Context HttpHeaders headers, @Context HttpServletRequest call) {
        return forward(name, headers, call, InputStream.nullInputStream());
    }

    @HEAD
    public Response head(
            @PathParam("name") String name, @Context HttpHeaders headers, @Context HttpServletRequest call) {
        return forward(name, headers, call, InputStream.nullInputStream());
    }

    @POST
    public Response post(
            @PathParam("name") String name,
            @Context HttpHeaders headers,
            @Context HttpServletRequest call,
            InputStream body) {
        return forward(name, headers, call, body);
    }

    @PUT
    public Response put(
            @PathParam("name") String name,
            @Context HttpHeaders headers,
            @Context HttpServletRequest call,
            InputStream body) {
        return forward(name, headers, call, body);
    }

    @PATCH
    public Response patch(
            @PathParam("name") String name,
            @Context HttpHeaders headers,
            @Context HttpServletRequest call,
            InputStream body) {
        return forward(name, headers, call, body);
    }

    @DELETE
    public Response delete(
            @PathParam("name") String name,
            @Context HttpHeaders headers,
            @Context HttpServletRequest call,
            InputStream body) {
        return forward(name, headers, call, body);
    }

    private Response forward(String name, HttpHeaders headers, HttpServletRequest servletRequest, InputStream body) {
        Call call = Responses.call(servletRequest);
        SheetIndex index = indexes.current();
        Team team = TeamAuthenticator.authenticate(index, headers.getHeaderString(HttpHeaders.AUTHORIZATION));
        byte[] content = bodies.read(body);
        RequestHeaders checked;
        try {
            checked = HeaderReader.read(headers);
        } catch (RequestException e) {
            throw CallerException.of(e);
        }
        Route route = index.route(team, name)
                .filter(found -> found.service().kind() == ServiceKind.PLAIN)
                .orElseThrow(() -> CallerException.notRun(
                        CallerCode.NO_ROUTE, "no rule lets this team use service '" + name + "'", 0));
        PlainCall plain = PlainCall.of(servletRequest, content);
        RequestContext request =
                contexts.plain(call.requestId(), team, route, checked, plain.method() + ' ' + plain.path(), content);
        return Responses.respond(call, runner.run(request, attempts.forCall(plain)));
    }
}
