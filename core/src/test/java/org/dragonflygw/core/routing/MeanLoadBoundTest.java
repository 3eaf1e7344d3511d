package org.dragonflygw.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class MeanLoadBoundTest {
    private final MutableClock clock = MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);
    private final ServiceLoads loads = new ServiceLoads(clock);

    @Test
    void idleServiceAllowsOneRequestPerEngine() {
        setEngines(12);
        assertThat(bound().maxLoad(0, 10_000)).isEqualTo(1);
    }

    @Test
    void evenLoadMayGrowWhenTheSumsAreOld() {
        setEngines(12);
        state(12, 20);
        clock.add(Duration.ofSeconds(30));
        assertThat(bound().maxLoad(20, 10_000)).isAtLeast(21);
    }

    @Test
    void staysWithinTheTrueBoundWhenAnEngineJoinsUnnoticed() {
        setEngines(12);
        state(12, 20);
        double meanWithOneMore = 12.0 * 20 / 13;
        assertThat((double) bound().maxLoad(20, 10_000)).isAtMost(1.25 * meanWithOneMore + 1);
    }

    @Test
    void ignoresOlderStatementsAndUnknownEngines() {
        setEngines(2);
        loads.accept(load("e1", 1, 2, 10));
        loads.accept(load("e1", 1, 1, 90));
        loads.accept(load("other", 1, 1, 90));
        assertThat(loads.statedLoad()).isEqualTo(10.0);
    }

    @Test
    void newerEpochWinsOverHigherVersion() {
        setEngines(2);
        loads.accept(load("e1", 1, 50, 10));
        loads.accept(load("e1", 2, 1, 4));
        assertThat(loads.statedLoad()).isEqualTo(4.0);
    }

    @Test
    void singleEngineHasNoBound() {
        setEngines(1);
        assertThat(bound().maxLoad(50, 10_000)).isEqualTo(Integer.MAX_VALUE);
    }

    private MeanLoadBound bound() {
        return new MeanLoadBound("e0", 1.25, loads, 1);
    }

    private void setEngines(int count) {
        List<Endpoint> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new Endpoint("e" + i, "pool", "127.0.0.1", 1, "a", "r", 1, EndpointState.LIVE));
        }
        loads.setEndpoints(engines);
    }

    private void state(int count, int inFlight) {
        for (int i = 0; i < count; i++) {
            loads.accept(load("e" + i, 1, 1, inFlight));
        }
    }

    private EndpointLoad load(String id, long epoch, long version, int inFlight) {
        return new EndpointLoad(id, epoch, version, inFlight, 0, false, 0, clock.instant());
    }
}
