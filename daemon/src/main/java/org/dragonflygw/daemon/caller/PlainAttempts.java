package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EndpointGrant;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventType;
import org.dragonflygw.daemon.endpoint.EndpointClient;
import org.dragonflygw.daemon.endpoint.EndpointException;
import org.dragonflygw.daemon.endpoint.EndpointExchange;
import org.dragonflygw.daemon.endpoint.EndpointRequest;
import org.dragonflygw.daemon.endpoint.SendOptions;

/**
 * Runs attempts of calls to plain services. Reads the complete response before it is forwarded, so that a lost response
 * becomes an error and not a truncated body. Thread-safe.
 */
@Singleton
public final class PlainAttempts {
    private static final int MAX_RESPONSE_BYTES = 16_777_216;

    private final EndpointClient client;
    private final EventRecorder events;
    private final CallerMetrics metrics;
    private final Clock clock;

    @Inject
    public PlainAttempts(EndpointClient client, EventRecorder events, CallerMetrics metrics, Clock clock) {
        this.client = client;
        this.events = events;
        this.metrics = metrics;
        this.clock = clock;
    }

    /** Creates a runner for a call. */
    AttemptRunner forCall(PlainCall call) {
        return (request, grant, claim) -> run(request, grant, claim, call);
    }

    private CallerResponse run(RequestContext request, EndpointGrant grant, OptionalClaim claim, PlainCall call) {
        Endpoint endpoint = grant.endpoint();
        long remainingMillis =
                Math.max(1, request.deadline().toEpochMilli() - clock.instant().toEpochMilli());
        boolean fresh = request.nonIdempotent() || !call.isIdempotent();
        try (EndpointExchange exchange = client.send(
                endpoint,
                toEndpointRequest(request, call),
                remainingMillis,
                new SendOptions(fresh, claim::mayDispatch))) {
            byte[] body = exchange.readAll(endpoint.id(), MAX_RESPONSE_BYTES);
            String contentType = exchange.header("Content-Type");
            claim.complete(exchange.status(), contentType, Optional.of(body));
            grant.end(AttemptOutcome.COMPLETED);
            metrics.completed();
            events.record(
                    EventType.REQUEST_COMPLETED,
                    RequestRunner.subject(request, endpoint.id()),
                    "status " + exchange.status());
            return new BufferedResponse(exchange.status(), contentType, body);
        } catch (EndpointException e) {
            throw AttemptException.of(e, call.isIdempotent());
        }
    }

    private static EndpointRequest toEndpointRequest(RequestContext request, PlainCall call) {
        List<EndpointRequest.Header> headers = new ArrayList<>();
        headers.add(new EndpointRequest.Header("X-Request-Id", request.requestId()));
        request.idempotencyKey().ifPresent(key -> headers.add(new EndpointRequest.Header("Idempotency-Key", key)));
        if (!call.accept().isEmpty()) {
            headers.add(new EndpointRequest.Header("Accept", call.accept()));
        }
        return new EndpointRequest(call.method(), call.path(), headers, call.contentType(), call.body());
    }
}
