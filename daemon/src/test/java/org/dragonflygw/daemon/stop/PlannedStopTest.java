package org.dragonflygw.daemon.stop;

import static com.google.common.truth.Truth.assertThat;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.dragonflygw.daemon.RouterFixture;
import org.dragonflygw.daemon.caller.OpenRequests;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A planned stop must cut off no request: 200 streams are open when it starts, and 20 more arrive while the load
 * balancer has not noticed it yet.
 */
final class PlannedStopTest {
    private static final int STREAMS = 200;
    private static final int TOKENS = 100;
    private static final int BALANCER_LAG_MILLIS = 600;

    private final List<String> handedOver = new ArrayList<>();
    private EngineServer engine;
    private RouterFixture router;

    @BeforeEach
    void start() {
        engine = new EngineServer(EngineConfig.builder("engine-1")
                .maxBatch(512)
                .tokenGapMicros(20_000, 0)
                .build());
        router = new RouterFixture(
                RouterFixture.settings().setBalancerLagMillis(BALANCER_LAG_MILLIS), new AbstractModule() {
                    @Override
                    protected void configure() {
                        Multibinder<StopStep> steps = Multibinder.newSetBinder(binder(), StopStep.class);
                        steps.addBinding().toInstance(step("first"));
                        steps.addBinding().toInstance(step("second"));
                    }
                });
        router.useTokenGap(5_000);
        router.useEndpoints(RouterFixture.endpoint("engine-1", RouterFixture.MODEL, engine.port()));
    }

    @AfterEach
    void stop() {
        engine.close();
    }

    @Test
    void completesAllRequestsWhileNewOnesArrive() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            answers.add(sendChat("early " + i));
        }
        awaitOpen(STREAMS);
        AtomicBoolean finished = new AtomicBoolean();
        Thread stopping = new Thread(() -> finished.set(router.application().stopGracefully()));
        stopping.start();
        awaitNotReady();
        for (int i = 0; i < STREAMS / 10; i++) {
            answers.add(sendChat("late " + i));
        }

        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            HttpResponse<String> response = answer.get();
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).endsWith("data: [DONE]\n\n");
            assertThat(response.body().split("\"content\"", -1).length).isAtLeast(TOKENS);
        }
        stopping.join();
        assertThat(finished.get()).isTrue();
        assertThat(handedOver).containsExactly("first", "second").inOrder();
    }

    private CompletableFuture<HttpResponse<String>> sendChat(String content) {
        return router.http()
                .sendAsync(router.chat(content, true, TOKENS).build(), HttpResponse.BodyHandlers.ofString());
    }

    private void awaitOpen(int count) throws InterruptedException {
        OpenRequests open = router.application().injector().getInstance(OpenRequests.class);
        for (int i = 0; i < 2_000 && open.count() < count; i++) {
            Thread.sleep(5);
        }
        assertThat(open.count()).isEqualTo(count);
    }

    private void awaitNotReady() throws Exception {
        HttpResponse<String> ready = router.operator("/health/ready");
        for (int i = 0; i < 500 && ready.statusCode() == 200; i++) {
            Thread.sleep(2);
            ready = router.operator("/health/ready");
        }
        assertThat(ready.statusCode()).isEqualTo(503);
        assertThat(ready.body()).contains("WAITING_FOR_BALANCER");
    }

    private StopStep step(String name) {
        return new StopStep() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public void run(Consumer<String> progress) {
                progress.accept("done");
                handedOver.add(name);
            }
        };
    }
}
