package org.dragonflygw.daemon.caller;

import static com.google.common.truth.Truth.assertThat;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.OptionalBinder;
import java.net.ServerSocket;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.dragonflygw.core.ledger.Claim;
import org.dragonflygw.core.ledger.StoredAnswer;
import org.dragonflygw.core.ledger.Submission;
import org.dragonflygw.core.ledger.SubmissionDecision;
import org.dragonflygw.core.ledger.SubmissionGate;
import org.dragonflygw.daemon.RouterFixture;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineServer;
import org.dragonflygw.standins.plain.PlainFaults;
import org.dragonflygw.standins.plain.PlainServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Non-idempotent requests must run at most once: how the router ends their claims and replays their answers. */
final class NonIdempotentRequestTest {
    private final RecordingGate gate = new RecordingGate();
    private EngineServer engine;
    private PlainServer service;
    private RouterFixture router;

    @BeforeEach
    void start() {
        engine = new EngineServer(EngineConfig.defaults("engine-1"));
        service = new PlainServer("filings-1", 0);
        router = new RouterFixture(RouterFixture.settings(), new AbstractModule() {
            @Override
            protected void configure() {
                OptionalBinder.newOptionalBinder(binder(), SubmissionGate.class)
                        .setBinding()
                        .toInstance(gate);
            }
        });
        router.useEndpoints(
                RouterFixture.endpoint("engine-1", RouterFixture.MODEL, engine.port()),
                RouterFixture.endpoint("filings-1", RouterFixture.PLAIN, service.port()));
    }

    @AfterEach
    void stop() {
        router.close();
        service.close();
        engine.close();
    }

    @Test
    void completedAnswerIsStoredAndReplayed() throws Exception {
        HttpResponse<String> first = router.send(book());
        HttpResponse<String> second = router.send(book());

        assertThat(second.body()).isEqualTo(first.body());
        assertThat(second.headers().firstValue("Idempotency-Replayed")).isEqualTo(Optional.of("true"));
        assertThat(service.executionCount("key-1")).isEqualTo(1);
        assertThat(gate.outcomes).containsExactly("done");
    }

    @Test
    void completeStreamIsStoredAndReplayed() throws Exception {
        HttpResponse<String> first = router.send(nonIdempotent(router.chat("file it", true, 30)));
        HttpResponse<String> second = router.send(nonIdempotent(router.chat("file it", true, 30)));

        assertThat(first.body()).endsWith("data: [DONE]\n\n");
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(engine.executions()).hasSize(1);
    }

    @Test
    void streamIsReadToItsEndWhenTheCallerDisconnects() throws Exception {
        var response = router.http()
                .send(
                        nonIdempotent(router.chat("leave", true, 3_000)).build(),
                        HttpResponse.BodyHandlers.ofInputStream());
        assertThat(response.body().read()).isEqualTo('i');
        response.body().close();
        gate.awaitOutcome();

        assertThat(gate.outcomes).containsExactly("done");
    }

    @Test
    void lostAnswerIsReportedAsUnknownAndNotRetried() throws Exception {
        service.setFaults(PlainFaults.losingAnswers(1));

        assertThat(router.send(book()).body()).contains("\"run\":\"unknown\"");
        assertThat(service.executionCount("key-1")).isEqualTo(1);
        assertThat(gate.outcomes).containsExactly("outcomeUnknown");
    }

    @Test
    void refusedConnectionIsReportedAsNotRun() throws Exception {
        int closedPort;
        try (ServerSocket socket = new ServerSocket(0)) {
            closedPort = socket.getLocalPort();
        }
        router.useEndpoints(RouterFixture.endpoint("gone", RouterFixture.PLAIN, closedPort));

        assertThat(router.send(book()).body()).contains("\"run\":\"not_run\"");
        assertThat(gate.outcomes).containsExactly("notRun");
    }

    @Test
    void requestIsNotSentWhenItsClaimExpired() throws Exception {
        gate.expired = true;

        assertThat(router.send(book()).body()).contains("\"run\":\"not_run\"");
        assertThat(service.executions()).isEmpty();
        assertThat(gate.outcomes).containsExactly("notRun");
    }

    private HttpRequest.Builder book() {
        return nonIdempotent(router.call("/services/filings/book").POST(BodyPublishers.ofString("{}")));
    }

    private static HttpRequest.Builder nonIdempotent(HttpRequest.Builder request) {
        return request.header("X-Non-Idempotent", "true").header("Idempotency-Key", "key-1");
    }

    /** Grants the claim of the first submission, records how it ends, and replays its answer to later submissions. */
    private static final class RecordingGate implements SubmissionGate, Claim {
        private final List<String> outcomes = new CopyOnWriteArrayList<>();
        private volatile Optional<StoredAnswer> answer = Optional.empty();
        private volatile boolean expired;

        @Override
        public CompletableFuture<SubmissionDecision> claim(Submission submission) {
            SubmissionDecision decision =
                    answer.isPresent() ? new SubmissionDecision.Replay(answer.get()) : new SubmissionDecision.Run(this);
            return CompletableFuture.completedFuture(decision);
        }

        @Override
        public boolean mayDispatch() {
            return !expired;
        }

        @Override
        public void complete(StoredAnswer stored) {
            answer = Optional.of(stored);
            outcomes.add("done");
        }

        @Override
        public void markNotRun() {
            outcomes.add("notRun");
        }

        @Override
        public void markOutcomeUnknown() {
            outcomes.add("outcomeUnknown");
        }

        void awaitOutcome() throws InterruptedException {
            for (int i = 0; i < 2_000 && outcomes.isEmpty(); i++) {
                Thread.sleep(10);
            }
        }
    }
}
