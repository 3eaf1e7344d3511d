package org.dragonflygw.daemon.endpoint;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.request.RequestContext;

/** Client for the HTTP interface of model engines: runs, resumes and cancels chat completions. Thread-safe. */
@Singleton
public final class EngineClient {
    private static final Logger LOG = LogManager.getLogger(EngineClient.class);
    private static final long CANCEL_SILENCE_MILLIS = 2_000;
    private static final int MAX_CANCEL_RESPONSE_BYTES = 4_096;
    private static final String STREAMS_PATH = "/v1/streams/";

    private final EndpointClient client;

    @Inject
    public EngineClient(EndpointClient client) {
        this.client = client;
    }

    /**
     * Dispatches a chat completion and waits for the headers of its response.
     *
     * @param maySend called once, directly before the first byte is written
     * @throws EndpointException when no response arrived
     */
    public EndpointExchange run(
            Endpoint engine, RequestContext request, byte[] body, long silenceMillis, BooleanSupplier maySend) {
        List<EndpointRequest.Header> headers = new ArrayList<>();
        headers.add(new EndpointRequest.Header("X-Request-Id", request.requestId()));
        headers.add(new EndpointRequest.Header("X-Priority", Integer.toString(request.priority())));
        headers.add(new EndpointRequest.Header("X-Prefix-Fingerprint", Long.toHexString(request.prefixFingerprint())));
        headers.add(new EndpointRequest.Header("X-Prompt-Tokens", Integer.toString(request.promptTokens())));
        request.idempotencyKey().ifPresent(key -> headers.add(new EndpointRequest.Header("Idempotency-Key", key)));
        EndpointRequest call = new EndpointRequest("POST", "/v1/chat/completions", headers, "application/json", body);
        return client.send(engine, call, silenceMillis, new SendOptions(request.nonIdempotent(), maySend));
    }

    /**
     * Resumes a stream on a new connection.
     *
     * @param fromToken sequence number of the first token to send
     * @throws EndpointException when no response arrived
     */
    public EndpointExchange resume(Endpoint engine, String requestId, long fromToken, long silenceMillis) {
        EndpointRequest call =
                EndpointRequest.withoutBody("GET", STREAMS_PATH + requestId + "?from=" + fromToken, List.of());
        return client.send(engine, call, silenceMillis, SendOptions.FRESH);
    }

    /** Closes all idle connections to endpoints; see {@link EndpointClient#closeIdle}. */
    void closeIdle() {
        client.closeIdle();
    }

    /** Cancels a stream. A failure is only logged, because the engine ends an abandoned stream by itself. */
    public void cancel(Endpoint engine, String requestId) {
        EndpointRequest call = EndpointRequest.withoutBody("DELETE", STREAMS_PATH + requestId, List.of());
        try (EndpointExchange exchange = client.send(engine, call, CANCEL_SILENCE_MILLIS, SendOptions.FRESH)) {
            exchange.readAll(engine.id(), MAX_CANCEL_RESPONSE_BYTES);
        } catch (EndpointException e) {
            LOG.warn("cancelling a stream at {} failed: {}", engine.id(), e.getMessage());
        }
    }
}
