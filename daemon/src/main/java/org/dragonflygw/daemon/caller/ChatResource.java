package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.InputStream;
import org.dragonflygw.core.config.ServiceKind;
import org.dragonflygw.core.config.Team;
import org.dragonflygw.core.request.ChatRequest;
import org.dragonflygw.core.request.ChatRequestReader;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.request.RequestContextFactory;
import org.dragonflygw.core.request.RequestException;
import org.dragonflygw.core.request.RequestHeaders;
import org.dragonflygw.core.request.Route;
import org.dragonflygw.core.request.SheetIndex;

/** Callers' interface for chat completions. */
@Path("/v1/chat/completions")
public final class ChatResource {
    private final SheetIndexCache indexes;
    private final BodyReader bodies;
    private final ChatRequestReader reader;
    private final RequestContextFactory contexts;
    private final RequestRunner runner;
    private final ChatAttempts attempts;

    @Inject
    public ChatResource(
            SheetIndexCache indexes,
            BodyReader bodies,
            ChatRequestReader reader,
            RequestContextFactory contexts,
            RequestRunner runner,
            ChatAttempts attempts) {
        this.indexes = indexes;
        this.bodies = bodies;
        this.reader = reader;
        this.contexts = contexts;
        this.runner = runner;
        this.attempts = attempts;
    }

    /**
     * Runs a chat completion, streamed or as one object as the body asks.
     *
     * @throws CallerException when the request is refused or no endpoint gives a response
     */
    @POST
    @Consumes(MediaType.WILDCARD)
    public Response complete(
            @Context HttpHeaders headers, @Context HttpServletRequest servletRequest, InputStream body) {
        Call call = Responses.call(servletRequest);
        SheetIndex index = indexes.current();
        Team team = TeamAuthenticator.authenticate(index, headers.getHeaderString(HttpHeaders.AUTHORIZATION));
        byte[] content = bodies.read(body);
        RequestHeaders checked;
        ChatRequest chat;
        try {
            checked = HeaderReader.read(headers);
            chat = reader.read(content);
        } catch (RequestException e) {
            throw CallerException.of(e);
        }
        Route route = index.route(team, chat.model())
                .filter(found -> found.service().kind() == ServiceKind.MODEL)
                .orElseThrow(() -> CallerException.notRun(
                        CallerCode.NO_ROUTE, "no rule lets this team use model '" + chat.model() + "'", 0));
        RequestContext request = contexts.chat(call.requestId(), team, route, checked, chat, content);
        AttemptRunner attempt = chat.stream() ? attempts.streaming(content) : attempts.buffered(content);
        return Responses.respond(call, runner.run(request, attempt));
    }
}
