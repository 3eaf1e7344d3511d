package org.dragonflygw.bench.history;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.bench.history.HistoryEvent.RequestEnded;
import org.dragonflygw.bench.history.HistoryEvent.RequestSent;
import org.dragonflygw.bench.history.HistoryEvent.TokenReceived;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.standins.engine.ResponseText;

/**
 * An HTTP caller that records its requests and answers in a history. The single token of a booking is the id of the
 * request that ran the booking.
 */
final class RecordingCaller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String DEADLINE_MILLIS = "3000";
    private static final int OK = 200;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final HistoryRecorder recorder;
    private final BookingRuns runs;

    RecordingCaller(HistoryRecorder recorder, BookingRuns runs) {
        this.recorder = recorder;
        this.runs = runs;
    }

    void book(int port, String key) throws IOException, InterruptedException {
        HttpResponse<String> response = send(request(port, "/services/" + RunningFleet.PLAIN + "/pay")
                .header("Idempotency-Key", key)
                .header("X-Non-Idempotent", "true")
                .POST(HttpRequest.BodyPublishers.ofString("{\"fee\":\"" + key + "\"}")));
        String id = requestId(response);
        if (response.statusCode() != OK) {
            recorder.record(new RequestSent(id, "router", "clerks/" + key, List.of()));
            error(id, JSON.readTree(response.body()));
            return;
        }
        String executedRequestId =
                JSON.readTree(response.body()).path("requestId").asText();
        recorder.record(new RequestSent(id, "router", "clerks/" + key, List.of(runs.requestOf(key))));
        recorder.record(new TokenReceived(id, executedRequestId));
        recorder.record(new RequestEnded(id, Ending.WHOLE, RunStatus.RUN));
    }

    void chat(int port, String text) throws IOException, InterruptedException {
        String body = "{\"model\":\"" + RunningFleet.MODEL + "\",\"stream\":true,\"max_tokens\":20,\"messages\":"
                + "[{\"role\":\"user\",\"content\":\"" + text + "\"}]}";
        HttpResponse<String> response =
                send(request(port, "/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body)));
        String id = requestId(response);
        recorder.record(new RequestSent(id, "router", "", tokens(body)));
        if (response.statusCode() != OK) {
            error(id, JSON.readTree(response.body()));
            return;
        }
        readStream(id, response.body());
    }

    private void readStream(String id, String stream) throws IOException {
        boolean failed = false;
        for (String line : stream.lines().toList()) {
            failed |= line.startsWith("event: error");
            if (!line.startsWith("data: ")) {
                continue;
            }
            String data = line.substring("data: ".length());
            if (data.equals("[DONE]")) {
                recorder.record(new RequestEnded(id, Ending.WHOLE, RunStatus.RUN));
                return;
            }
            if (failed) {
                error(id, JSON.readTree(data));
                return;
            }
            String token = JSON.readTree(data).at("/choices/0/delta/content").asText();
            recorder.record(new TokenReceived(id, token));
        }
        recorder.record(new RequestEnded(id, Ending.BROKEN, RunStatus.UNKNOWN));
    }

    private void error(String id, JsonNode body) {
        String run = body.path("error").path("run").asText();
        Optional<RunStatus> status = List.of(RunStatus.values()).stream()
                .filter(s -> s.wireName().equals(run))
                .findFirst();
        recorder.record(new RequestEnded(id, Ending.ERROR, status.orElseThrow()));
    }

    private static List<String> tokens(String body) {
        ResponseText text = ResponseText.ofBody(body.getBytes(StandardCharsets.UTF_8));
        List<String> tokens = new ArrayList<>();
        for (int i = 0; i < text.tokens(); i++) {
            tokens.add(text.token(i));
        }
        return tokens;
    }

    private static HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + RunningFleet.KEY)
                .header("Content-Type", "application/json")
                .header("X-Deadline-Millis", DEADLINE_MILLIS);
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static String requestId(HttpResponse<String> response) {
        return response.headers().firstValue("X-Request-Id").orElseThrow();
    }

    /** Looks up the request that executed a booking. */
    interface BookingRuns {
        /** Returns the id of the request that executed the booking with the given idempotency key. */
        String requestOf(String key);
    }
}
