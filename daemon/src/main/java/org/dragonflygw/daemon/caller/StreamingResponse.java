package org.dragonflygw.daemon.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EndpointGrant;
import org.dragonflygw.core.stream.SseEvent;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventType;
import org.dragonflygw.daemon.endpoint.EndpointException;
import org.dragonflygw.daemon.endpoint.EngineClient;
import org.dragonflygw.daemon.endpoint.TokenStream;

/**
 * Relays the event stream of an engine to the caller. Events are forwarded unchanged. A write blocks while the caller
 * reads slowly, and no more is read from the engine meanwhile (backpressure). When the caller disconnects, the request
 * is cancelled at the engine; a non-idempotent request is instead read to its end and its response stored. Not
 * thread-safe.
 */
final class StreamingResponse implements CallerResponse {
    private static final Logger LOG = LogManager.getLogger(StreamingResponse.class);
    private static final int STATUS_OK = 200;
    private static final String CONTENT_TYPE = "text/event-stream;charset=utf-8";

    private final RequestContext request;
    private final EndpointGrant grant;
    private final OptionalClaim claim;
    private final TokenStream tokens;
    private final SseEvent first;
    private final Dependencies tools;
    private final ByteArrayOutputStream storedEvents = new ByteArrayOutputStream(0);
    private boolean callerDisconnected;
    private boolean failed;
    private boolean closed;

    StreamingResponse(
            RequestContext request,
            EndpointGrant grant,
            OptionalClaim claim,
            TokenStream tokens,
            SseEvent first,
            Dependencies tools) {
        this.request = request;
        this.grant = grant;
        this.claim = claim;
        this.tokens = tokens;
        this.first = first;
        this.tools = tools;
    }

    @Override
    public int status() {
        return STATUS_OK;
    }

    @Override
    public String contentType() {
        return CONTENT_TYPE;
    }

    @Override
    public void write(OutputStream out) {
        try {
            relay(out);
        } catch (EndpointException e) {
            fail(out, e);
        } catch (IOException e) {
            LOG.info("caller disconnected at token {}: {}", tokens.acceptedTokens(), e.toString());
        } finally {
            close();
        }
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        boolean complete = tokens.isComplete();
        tokens.close();
        if (complete) {
            completeRequest();
            return;
        }
        tools.engines.cancel(grant.endpoint(), request.requestId());
        if (!failed) {
            cancelRequest();
        }
    }

    private void relay(OutputStream out) throws IOException {
        SseEvent event = first;
        while (true) {
            send(out, event);
            Optional<SseEvent> more = tokens.poll();
            if (more.isPresent()) {
                event = more.get();
                continue;
            }
            flush(out);
            if (tokens.isComplete()) {
                return;
            }
            event = tokens.next();
        }
    }

    private void send(OutputStream out, SseEvent event) throws IOException {
        if (claim.isPresent() && storedEvents.size() <= OptionalClaim.MAX_STORED_BYTES) {
            storedEvents.write(event.buffer(), event.offset(), event.length());
        }
        if (callerDisconnected) {
            return;
        }
        try {
            out.write(event.buffer(), event.offset(), event.length());
        } catch (IOException e) {
            onCallerDisconnected(e);
        }
    }

    private void flush(OutputStream out) throws IOException {
        if (callerDisconnected) {
            return;
        }
        try {
            out.flush();
        } catch (IOException e) {
            onCallerDisconnected(e);
        }
    }

    private void onCallerDisconnected(IOException e) throws IOException {
        callerDisconnected = true;
        if (!claim.isPresent()) {
            throw e;
        }
    }

    private void fail(OutputStream out, EndpointException cause) {
        failed = true;
        LOG.warn("response of the endpoint lost after {} tokens: {}", tokens.acceptedTokens(), cause.getMessage());
        CallerException e =
                new CallerException(CallerCode.ANSWER_LOST, RunStatus.RUN, "the rest of the answer was lost", 0, cause);
        tools.metrics.failed(e);
        tools.events.record(
                EventType.REQUEST_FAILED,
                RequestRunner.subject(request, endpointId()),
                e.code().name());
        grant.end(AttemptOutcome.ENDPOINT_LOST);
        claim.fail(RunStatus.RUN);
        if (!callerDisconnected) {
            sendError(out, e);
        }
    }

    private void sendError(OutputStream out, CallerException e) {
        try {
            String body = tools.json.writeValueAsString(ErrorBody.of(e, request.requestId()));
            out.write(("event: error\ndata: " + body + "\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException disconnected) {
            LOG.info("caller disconnected before the error was sent: {}", disconnected.toString());
        }
    }

    private void completeRequest() {
        boolean fits = storedEvents.size() <= OptionalClaim.MAX_STORED_BYTES;
        claim.complete(STATUS_OK, CONTENT_TYPE, fits ? Optional.of(storedEvents.toByteArray()) : Optional.empty());
        grant.end(AttemptOutcome.COMPLETED);
        tools.metrics.completed();
        tools.events.record(
                EventType.REQUEST_COMPLETED,
                RequestRunner.subject(request, endpointId()),
                tokens.acceptedTokens() + " tokens");
    }

    private void cancelRequest() {
        claim.fail(RunStatus.RUN);
        grant.end(AttemptOutcome.CANCELLED);
        tools.metrics.cancelled();
        tools.events.record(
                EventType.REQUEST_CANCELLED,
                RequestRunner.subject(request, endpointId()),
                "at token " + tokens.acceptedTokens());
    }

    private String endpointId() {
        return grant.endpoint().id();
    }

    /** Services shared by all streaming responses. */
    static final class Dependencies {
        private final EngineClient engines;
        private final EventRecorder events;
        private final CallerMetrics metrics;
        private final ObjectMapper json;

        Dependencies(EngineClient engines, EventRecorder events, CallerMetrics metrics, ObjectMapper json) {
            this.engines = engines;
            this.events = events;
            this.metrics = metrics;
            this.json = json;
        }
    }
}
