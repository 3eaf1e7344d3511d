package org.dragonflygw.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineFaults;
import org.dragonflygw.standins.engine.EngineServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class LoadRunnerTest {
    private final EngineServer engine = new EngineServer(
            EngineConfig.builder("engine-1").tokenGapMicros(200, 0).build());

    @AfterEach
    void stop() {
        engine.close();
    }

    @Test
    void countsWholeAnswersAndTheirTokens() {
        LoadResult result = run().get(0);

        assertThat(result.metrics().completeCount()).isGreaterThan(0);
        assertThat(result.metrics().causes()).isEmpty();
        assertThat(result.metrics().failedCount()).isEqualTo(0);
        assertThat(result.metrics().tokenCount()).isEqualTo(5 * result.metrics().completeCount());
        assertThat(result.metrics().firstTokenMicros().getTotalCount())
                .isEqualTo(result.metrics().completeCount());
        assertThat(LoadTables.latencies(List.of(result, result))).contains("added_millis");
        assertThat(LoadTables.totals(List.of(result)))
                .contains("engine," + result.metrics().completeCount() + ",0,");
    }

    @Test
    void answerWithAnExtraTokenCountsAsFailed() {
        engine.setFaults(EngineFaults.duplicated(1));

        LoadResult result = run().get(0);

        assertThat(result.metrics().completeCount()).isEqualTo(0);
        assertThat(result.metrics().failedCount()).isGreaterThan(0);
    }

    @Test
    void targetsAreParsed() {
        assertThat(LoadTarget.parse("router:17=http://a,http://b"))
                .isEqualTo(new LoadTarget("router", List.of("http://a", "http://b"), Optional.of(17L)));
        assertThat(LoadTarget.parse("engine=http://a").pid()).isEqualTo(Optional.empty());
    }

    private List<LoadResult> run() {
        LoadTarget target = new LoadTarget("engine", List.of(engine.baseUrl()), Optional.empty());
        Duration blockTime = Duration.ofMillis(200);
        LoadPlan plan = new LoadPlan(
                List.of(target), 200, 1, blockTime, Duration.ZERO, Duration.ofSeconds(20), 5, 100, 2, "m", "", 1);
        try (StreamClient client = new StreamClient()) {
            return new LoadRunner(plan, client).run();
        }
    }
}
