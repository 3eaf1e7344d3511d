package org.dragonflygw.bench.fuzz;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * Applies random steps to the simulated request path and checks the history of each run. The number of runs is jqwik's
 * default, 1,000; {@code -Djqwik.tries.default=100000} sets another number.
 */
final class RequestPathFuzzTest {
    private static final int ROUTERS = 3;
    private static final int ENDPOINTS = 3;
    private static final int KEYS = 4;

    @Property(seed = "20261203")
    void randomStepsBreakNoPromise(@ForAll("runs") List<FuzzStep> steps) {
        FuzzSimulation simulation = new FuzzSimulation();
        steps.forEach(simulation::apply);
        assertThat(simulation.finish()).isEmpty();
    }

    @Provide
    Arbitrary<List<FuzzStep>> runs() {
        return Arbitraries.frequencyOf(
                        Tuple.of(6, bookings()),
                        Tuple.of(2, numbers(ROUTERS).map(FuzzStep.Chat::new)),
                        Tuple.of(2, Arbitraries.of(StoreFault.class).map(FuzzStep.FailStore::new)),
                        Tuple.of(
                                3,
                                Combinators.combine(numbers(ENDPOINTS), Arbitraries.of(EndpointFault.class))
                                        .as(FuzzStep.FailEndpoint::new)),
                        Tuple.of(
                                1,
                                Combinators.combine(numbers(ROUTERS), numbers(40_000))
                                        .as(FuzzStep.Pause::new)),
                        Tuple.of(1, numbers(ROUTERS).map(FuzzStep.Crash::new)),
                        Tuple.of(1, numbers(ENDPOINTS).map(FuzzStep.Leave::new)),
                        Tuple.of(4, numbers(5_000).map(FuzzStep.Advance::new)))
                .list()
                .ofMinSize(10)
                .ofMaxSize(80);
    }

    private static Arbitrary<FuzzStep> bookings() {
        return Combinators.combine(
                        numbers(ROUTERS), numbers(KEYS), Arbitraries.of(0, 0, 0, 1), Arbitraries.of(1, 1, 2, 3))
                .as(FuzzStep.Book::new);
    }

    private static Arbitrary<Integer> numbers(int bound) {
        return Arbitraries.integers().between(0, bound - 1);
    }
}
