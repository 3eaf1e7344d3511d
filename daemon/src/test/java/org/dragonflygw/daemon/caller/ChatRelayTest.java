package org.dragonflygw.daemon.caller;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import org.dragonflygw.daemon.RouterFixture;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ChatRelayTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private EngineServer engine;
    private RouterFixture router;

    @BeforeEach
    void start() throws Exception {
        engine = new EngineServer(EngineConfig.defaults("engine-1"));
        router = new RouterFixture(RouterFixture.settings());
        router.useEndpoints(RouterFixture.endpoint("engine-1", RouterFixture.MODEL, engine.port()));
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
        engine.close();
    }

    @Nested
    final class Whole {
        @Test
        void streamsAnAnswer() throws Exception {
            HttpResponse<String> response = router.send(router.chat("read this", true, 40));

            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).endsWith("data: [DONE]\n\n");
            assertThat(engine.executions()).hasSize(1);
        }

        @Test
        void givesOneObject() throws Exception {
            HttpResponse<String> response = router.send(router.chat("read this", false, 40));

            assertThat(response.statusCode()).isEqualTo(200);
            JsonNode answer = JSON.readTree(response.body());
            assertThat(answer.path("id").asText())
                    .isEqualTo(response.headers().firstValue("X-Request-Id").orElseThrow());
        }
    }
}
