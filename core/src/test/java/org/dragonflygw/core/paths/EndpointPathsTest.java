package org.dragonflygw.core.paths;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.exchange.EndpointProbe;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a host that does not notice that it lost its paths, or takes single endpoints for its paths. */
final class EndpointPathsTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long CHECK_MS = 100;
    private static final long CONNECT_TIMEOUT_MS = 450;

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final EndpointLoads loads = new EndpointLoads();
    private final Set<String> unreachable = new HashSet<>();
    private final List<String> probed = new ArrayList<>();
    private final List<Pending> pending = new ArrayList<>();
    private final List<String> changes = new ArrayList<>();
    private boolean silentCut;
    private boolean omitResults;
    private final EndpointPaths paths = new EndpointPaths(
            loads,
            this::probe,
            new EndpointPaths.Listener() {
                @Override
                public void onLost(String service) {
                    changes.add("lost " + service);
                }

                @Override
                public void onRegained(String service) {
                    changes.add("regained " + service);
                }
            },
            new Random(1),
            new NoOpEventLog(),
            clock);

    private record Pending(long atNanos, EndpointProbe.Result result, Consumer<EndpointProbe.Result> listener) {}

    EndpointPathsTest() {
        for (int i = 0; i < 8; i++) {
            loads.onUpdated(entry("llm", i));
        }
        for (int i = 0; i < 3; i++) {
            loads.onUpdated(entry("app", i));
        }
    }

    private static DiscoveredEndpoint entry(String service, int number) {
        return new DiscoveredEndpoint(service + number, service, "10.0.0.1", 80, "a", 8, false, 0, 1, "v1");
    }

    private void probe(DiscoveredEndpoint endpoint, Consumer<EndpointProbe.Result> listener) {
        probed.add(endpoint.id());
        if (omitResults) {
            return;
        }
        boolean reached = !unreachable.contains(endpoint.id());
        long delayMs = !reached && silentCut ? CONNECT_TIMEOUT_MS : 1;
        EndpointProbe.Result failure = silentCut ? EndpointProbe.Result.UNKNOWN : EndpointProbe.Result.ENDED;
        pending.add(new Pending(
                clock.nanos() + delayMs * NANOS_PER_MS, reached ? EndpointProbe.Result.ALIVE : failure, listener));
    }

    private void cutAll() {
        loads.all().forEach(e -> unreachable.add(e.entry().id()));
    }

    private void run(long ms) {
        for (long t = 0; t < ms; t += CHECK_MS) {
            clock.advanceMs(CHECK_MS);
            for (Pending p : List.copyOf(pending)) {
                if (p.atNanos() <= clock.nanos()) {
                    pending.remove(p);
                    p.listener().accept(p.result());
                }
            }
            paths.check();
        }
    }

    @Nested
    final class LostPaths {
        @Test
        void areNoticedAtARefusedConnectionWithinASecond() {
            cutAll();
            paths.onConnectionFailed(entry("llm", 0));
            run(400);
            assertThat(paths.isLost("llm")).isTrue();
            assertThat(changes).contains("lost llm");
        }

        @Test
        void areNoticedWhenOpenConnectionsFallSilent() {
            cutAll();
            silentCut = true;
            paths.onSent(entry("llm", 0));
            run(1_500);
            assertThat(paths.isLost("llm")).isTrue();
        }

        @Test
        void ofOneServiceRaiseASuspicionOfTheOthers() {
            cutAll();
            paths.onConnectionFailed(entry("llm", 0));
            run(1_000);
            assertThat(paths.isLost("app")).isTrue();
            assertThat(paths.lostCount()).isEqualTo(2);
        }

        /** Connections may live on while new ones are refused. */
        @Test
        void areNotHiddenByAnOpenConnection() {
            cutAll();
            paths.onConnectionFailed(entry("llm", 0));
            run(400);
            paths.onHeard(entry("llm", 1));
            run(400);
            assertThat(paths.isLost("llm")).isTrue();
        }

        @Test
        void areBackSoonAfterTheCutEnds() {
            cutAll();
            paths.onConnectionFailed(entry("llm", 0));
            run(3_000);
            unreachable.clear();
            run(1_200);
            assertThat(paths.isLost("llm")).isFalse();
            assertThat(changes).contains("regained llm");
        }

        /** Guards against a whole fleet that connects to all endpoints of a large service that is down. */
        @Test
        void areNoticedAfterABoundedNumberOfRefusals() {
            for (int i = 8; i < 300; i++) {
                loads.onUpdated(entry("llm", i));
            }
            cutAll();
            paths.onConnectionFailed(entry("llm", 0));
            run(600);
            assertThat(paths.isLost("llm")).isTrue();
            assertThat(probed.stream().filter(e -> e.startsWith("llm")).count()).isAtMost(14);
        }

        @Test
        void areProbedAtABoundedRate() {
            cutAll();
            paths.onConnectionFailed(entry("llm", 0));
            run(400);
            probed.clear();
            run(10_000);
            assertThat(probed.stream().filter(e -> e.startsWith("llm")).count()).isAtMost(14);
        }
    }

    @Nested
    final class SoundPaths {
        @Test
        void surviveTheEndOfOneEndpoint() {
            unreachable.add("llm0");
            paths.onConnectionFailed(entry("llm", 0));
            run(2_000);
            assertThat(changes).isEmpty();
        }

        /** Guards against a host that takes itself for cut off while endpoints that have just ended are still listed. */
        @Test
        void surviveEndsOfMostEndpoints() {
            for (int i = 0; i < 6; i++) {
                unreachable.add("llm" + i);
            }
            for (int i = 0; i < 20; i++) {
                paths.onConnectionFailed(entry("llm", i % 6));
                run(500);
            }
            assertThat(changes).isEmpty();
        }

        @Test
        void surviveEndpointsThatAreSilentForAWhile() {
            paths.onSent(entry("llm", 0));
            run(3_000);
            assertThat(changes).isEmpty();
        }

        @Test
        void areNotProbedWithoutASuspicion() {
            paths.onSent(entry("llm", 0));
            paths.onHeard(entry("llm", 0));
            run(3_000);
            assertThat(probed).isEmpty();
        }

        @Test
        void ofAServiceWithoutEndpointsAreNotLost() {
            paths.onConnectionFailed(entry("gone", 0));
            run(1_000);
            assertThat(paths.isLost("gone")).isFalse();
        }

        @Test
        void areKeptWhenProbesHaveNoResult() {
            omitResults = true;
            paths.onConnectionFailed(entry("llm", 0));
            run(3_000);
            assertThat(changes).isEmpty();
        }
    }
}
