package org.dragonflygw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;
import org.dragonflygw.standins.http.Exchange;
import org.dragonflygw.standins.http.Json;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;
import org.dragonflygw.standins.time.MonotonicClock;
import org.dragonflygw.standins.time.TaskTimer;

/** Runs, resumes and cancels chat completions. Thread-safe. */
final class ChatHandler {
    private static final int BYTES_PER_TOKEN = 4;
    private static final int NOT_FOUND = 404;
    private static final int NO_CONTENT = 204;
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String OTHER_REQUEST = "another-request";

    private final EngineCore core;
    private final Ticker ticker;
    private final FaultInjector faults;
    private final TaskTimer timer;
    private final Predicate<String> servesModel;
    private final Collection<String> executions = new ConcurrentLinkedQueue<>();
    private final ConcurrentHashMap<String, EngineStream> open = new ConcurrentHashMap<>();

    /**
     * Creates the handler.
     *
     * @param timer delays responses for {@link EngineFaults#lateMillis}
     * @param servesModel tests whether the engine serves a model name
     */
    ChatHandler(EngineCore core, Ticker ticker, FaultInjector faults, TaskTimer timer, Predicate<String> servesModel) {
        this.core = core;
        this.ticker = ticker;
        this.faults = faults;
        this.timer = timer;
        this.servesModel = servesModel;
    }

    /** Returns the ids of all executed requests, once for each execution. */
    Collection<String> executions() {
        return executions;
    }

    /** Records the execution of a request that gets no response. */
    void recordExecution(Exchange exchange) {
        executions.add(exchange.header(REQUEST_ID));
    }

    /** Runs a chat completion, streaming or not as the request says. */
    void complete(Exchange exchange, ConnectionState connection) {
        JsonNode body = Json.tree(exchange.body());
        if (!body.path("messages").isArray()) {
            throw new StandinException(StandinCode.BAD_REQUEST, "field messages is not a list");
        }
        String model = body.path("model").asText("");
        if (!servesModel.test(model)) {
            exchange.error(NOT_FOUND, "MODEL_NOT_LOADED");
            return;
        }
        RunRequest request = runRequest(exchange, body, model);
        boolean streaming = body.path("stream").asBoolean(false);
        executions.add(request.requestId());
        timer.after(faults.current().lateMillis(), () -> start(exchange, connection, request, streaming));
    }

    /** Resumes a stream on the connection of the exchange, at the token given by the query parameter {@code from}. */
    void resume(Exchange exchange, ConnectionState connection, String requestId) {
        Optional<EngineStream> found = core.find(requestId, MonotonicClock.nanos());
        if (found.isEmpty()) {
            exchange.error(NOT_FOUND, "UNKNOWN_STREAM");
            return;
        }
        long from = exchange.queryNumber("from", 0);
        EngineStream stream = found.get();
        if (from < 0 || from > stream.request().answer().tokens()) {
            throw new StandinException(StandinCode.BAD_REQUEST, "query parameter from is out of range: " + from);
        }
        sendEvents(exchange, connection, stream, (int) from, FaultInjector.NEVER);
    }

    /** Cancels a stream. The response is the same when the stream is unknown. */
    void cancel(Exchange exchange, String requestId) {
        Optional<EngineStream> found = core.find(requestId, MonotonicClock.nanos());
        core.cancel(requestId, MonotonicClock.nanos());
        found.ifPresent(EngineStream::notifySender);
        ticker.wake();
        exchange.status(NO_CONTENT);
    }

    private void start(Exchange exchange, ConnectionState connection, RunRequest request, boolean streaming) {
        EngineStream stream = core.submit(request, MonotonicClock.nanos());
        open.values().removeIf(other -> other.finished() || other.cancelled());
        open.put(request.requestId(), stream);
        if (streaming) {
            sendEvents(exchange, connection, stream, 0, faults.silenceAfter());
        } else {
            attach(stream, new NonStreamingSender(stream, exchange, connection));
        }
        ticker.wake();
    }

    private void sendEvents(
            Exchange exchange, ConnectionState connection, EngineStream stream, int from, int silenceAt) {
        StreamingSender sender = new StreamingSender(
                stream, exchange.stream(), connection, faults, this::appendCrossed, from, silenceAt);
        attach(stream, sender);
    }

    private static void attach(EngineStream stream, ResponseSender sender) {
        ResponseSender previous = stream.attach(sender);
        previous.onProgress();
        sender.onProgress();
    }

    private void appendCrossed(StringBuilder out, EngineStream own, int index) {
        EngineStream other = own;
        for (EngineStream candidate : open.values()) {
            if (candidate != own) {
                other = candidate;
                break;
            }
        }
        if (other == own) {
            RunRequest request = own.request();
            other = new EngineStream(new RunRequest(OTHER_REQUEST, request.model(), request.answer(), 0, "", 0), 0, 0);
        }
        int tokens = other.request().answer().tokens();
        new ChunkFormat(other).append(out, Math.min(index, tokens - 1));
    }

    private static RunRequest runRequest(Exchange exchange, JsonNode body, String model) {
        String id = exchange.header(REQUEST_ID);
        return new RunRequest(
                id.isEmpty() ? UUID.randomUUID().toString() : id,
                model,
                ResponseText.ofRequest(body),
                (int) headerNumber(exchange, "X-Priority", 0),
                exchange.header("X-Prefix-Fingerprint"),
                headerNumber(exchange, "X-Prompt-Tokens", exchange.body().length / BYTES_PER_TOKEN));
    }

    private static long headerNumber(Exchange exchange, String name, long fallback) {
        String text = exchange.header(name);
        if (text.isEmpty()) {
            return fallback;
        }
        try {
            return Math.max(0, Long.parseLong(text));
        } catch (NumberFormatException e) {
            throw new StandinException(StandinCode.BAD_REQUEST, "header " + name + " is not a number", e);
        }
    }
}
