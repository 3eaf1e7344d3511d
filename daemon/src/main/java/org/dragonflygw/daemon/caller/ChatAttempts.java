package org.dragonflygw.daemon.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EndpointGrant;
import org.dragonflygw.core.stream.SilenceLimits;
import org.dragonflygw.core.stream.SseEvent;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventType;
import org.dragonflygw.daemon.endpoint.EndpointCode;
import org.dragonflygw.daemon.endpoint.EndpointException;
import org.dragonflygw.daemon.endpoint.EndpointExchange;
import org.dragonflygw.daemon.endpoint.EngineClient;
import org.dragonflygw.daemon.endpoint.TokenStream;
import org.dragonflygw.daemon.endpoint.TokenStreamFactory;

/** Runs attempts of chat completions on engines. Thread-safe. */
@Singleton
public final class ChatAttempts {
    private static final String CONTENT_TYPE = "application/json";
    private static final int STATUS_OK = 200;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int MAX_ERROR_BYTES = 65_536;
    private static final int MAX_ERROR_CHARS = 500;
    private static final int MAX_RESPONSE_BYTES = 16_777_216;

    private final EngineClient engines;
    private final TokenStreamFactory streams;
    private final EventRecorder events;
    private final CallerMetrics metrics;
    private final ObjectMapper json;

    @Inject
    public ChatAttempts(
            EngineClient engines,
            TokenStreamFactory streams,
            EventRecorder events,
            CallerMetrics metrics,
            ObjectMapper json) {
        this.engines = engines;
        this.streams = streams;
        this.events = events;
        this.metrics = metrics;
        this.json = json;
    }

    /** Creates a runner that relays the response as server-sent events. */
    AttemptRunner streaming(byte[] body) {
        return (request, grant, claim) -> stream(request, grant, claim, body);
    }

    /** Creates a runner that returns the response as one JSON object. */
    AttemptRunner buffered(byte[] body) {
        return (request, grant, claim) -> buffered(request, grant, claim, body);
    }

    private CallerResponse stream(RequestContext request, EndpointGrant grant, OptionalClaim claim, byte[] body) {
        Endpoint engine = grant.endpoint();
        TokenStream tokens = streams.create(engine, request);
        boolean started = false;
        try {
            connect(tokens, engine, request, claim, body);
            SseEvent first = tokens.next();
            started = true;
            return new StreamingResponse(
                    request,
                    grant,
                    claim,
                    tokens,
                    first,
                    new StreamingResponse.Dependencies(engines, events, metrics, json));
        } catch (EndpointException e) {
            throw AttemptException.of(e, true);
        } finally {
            if (!started) {
                tokens.close();
            }
        }
    }

    private void connect(
            TokenStream tokens, Endpoint engine, RequestContext request, OptionalClaim claim, byte[] body) {
        EndpointExchange exchange;
        try {
            exchange = engines.run(
                    engine, request, body, SilenceLimits.of(request).firstTokenMillis(), claim::mayDispatch);
        } catch (EndpointException e) {
            if (e.isNotSent()) {
                throw e;
            }
            tokens.startByResuming(e);
            return;
        }
        if (exchange.status() != STATUS_OK) {
            throw errorResponse(engine, exchange);
        }
        tokens.start(exchange);
    }

    private CallerResponse buffered(RequestContext request, EndpointGrant grant, OptionalClaim claim, byte[] body) {
        Endpoint engine = grant.endpoint();
        try {
            byte[] content = fetch(engine, request, claim, body);
            CompletionValidator.validate(engine, request, content, json);
            claim.complete(STATUS_OK, CONTENT_TYPE, Optional.of(content));
            grant.end(AttemptOutcome.COMPLETED);
            metrics.completed();
            events.record(
                    EventType.REQUEST_COMPLETED,
                    RequestRunner.subject(request, engine.id()),
                    content.length + " bytes");
            return new BufferedResponse(STATUS_OK, CONTENT_TYPE, content);
        } catch (EndpointException e) {
            throw AttemptException.of(e, true);
        }
    }

    /**
     * Fetches a response that is one JSON object. When the connection is lost or silent, reads the stream of the same
     * request on a new connection, so that the engine need not run the request again.
     */
    private byte[] fetch(Endpoint engine, RequestContext request, OptionalClaim claim, byte[] body) {
        long silenceMillis = SilenceLimits.of(request).firstTokenMillis();
        try (EndpointExchange exchange = engines.run(engine, request, body, silenceMillis, claim::mayDispatch)) {
            if (exchange.status() != STATUS_OK) {
                throw errorResponse(engine, exchange);
            }
            return exchange.readAll(engine.id(), MAX_RESPONSE_BYTES);
        } catch (EndpointException e) {
            if (e.isNotSent() || e.code() == EndpointCode.ANSWER_TOO_LARGE) {
                throw e;
            }
            return assembleFromStream(engine, request, e);
        }
    }

    private byte[] assembleFromStream(Endpoint engine, RequestContext request, EndpointException cause) {
        CompletionAssembler assembler = new CompletionAssembler(json);
        try (TokenStream tokens = streams.create(engine, request)) {
            tokens.startByResuming(cause);
            while (true) {
                SseEvent event = tokens.next();
                if (tokens.isComplete()) {
                    return assembler.toBytes();
                }
                assembler.add(event);
                if (assembler.contentChars() > MAX_RESPONSE_BYTES) {
                    throw new EndpointException(
                            EndpointCode.ANSWER_TOO_LARGE,
                            engine.id() + " sent more than " + MAX_RESPONSE_BYTES + " characters of content");
                }
            }
        }
    }

    private static AttemptException errorResponse(Endpoint engine, EndpointExchange exchange) {
        int status = exchange.status();
        String text;
        try (exchange) {
            text = new String(exchange.readAll(engine.id(), MAX_ERROR_BYTES), StandardCharsets.UTF_8);
        } catch (EndpointException e) {
            text = "";
        }
        String detail =
                "the engine answered " + status + ": " + text.substring(0, Math.min(text.length(), MAX_ERROR_CHARS));
        boolean retryable = status >= STATUS_SERVER_ERROR || status == STATUS_TOO_MANY_REQUESTS;
        CallerCode code = retryable ? CallerCode.ENDPOINT_FAILED : CallerCode.REJECTED_BY_ENDPOINT;
        return new AttemptException(code, AttemptOutcome.FAILED, RunStatus.UNKNOWN, retryable, detail, null);
    }
}
