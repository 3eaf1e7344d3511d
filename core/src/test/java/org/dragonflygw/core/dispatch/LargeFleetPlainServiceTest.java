package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Test;

/**
 * Simulates many hosts that share a few endpoints of a plain service. Load reports arrive up to 1.6 s late, while a
 * request takes 43 ms. Guards against herding: hosts that follow stale reports all choose the same endpoint until the
 * next reports arrive. The simulation models the report schedule of the hosts, and the slots and queues of the
 * endpoints.
 */
final class LargeFleetPlainServiceTest {
    private static final int HOSTS = 63;
    private static final int FAN_OUT = 8;
    private static final int SLOTS = 6;
    private static final double REQUEST_MS = 43;
    private static final double OBJECTIVE_MS = 201;
    private static final double REPORT_INTERVAL_MS = 200;
    private static final double SIMULATION_MS = 20_000;
    private static final long NANOS_PER_MS = 1_000_000;

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
    private final SplittableRandom random = new SplittableRandom(7);
    private final List<Host> hosts = new ArrayList<>();
    private double[][] slotsFreeAtMs;
    private int served;
    private int late;
    private int rejected;

    private record Event(double atMs, Runnable action) {}

    private final class Host {
        private final EndpointLoads loads = new EndpointLoads();
        private final int[][] reportedInFlight;
        private final ExpectedTimeChooser chooser;
        private int nextTarget;

        Host(int number, int endpoints) {
            reportedInFlight = new int[HOSTS][endpoints];
            nextTarget = number;
            for (int i = 0; i < endpoints; i++) {
                loads.onUpdated(new DiscoveredEndpoint("p" + i, "app", "10.0.0.1", 80, "a", SLOTS, false, 0, 1, "v1"));
            }
            FleetSizeSampler sampler = new FleetSizeSampler(() -> OptionalInt.of(HOSTS), new SplittableRandom(number));
            chooser = new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), sampler);
        }

        List<EndpointLoadState> endpoints() {
            return loads.ofService("app");
        }

        void report(int number, double nowMs) {
            for (int i = 0; i < FAN_OUT; i++) {
                int target = nextTarget++ % HOSTS;
                for (int e = 0; e < endpoints().size(); e++) {
                    hosts.get(target).reportedInFlight[number][e] =
                            endpoints().get(e).inFlight();
                }
            }
            for (int e = 0; e < endpoints().size(); e++) {
                int sum = 0;
                for (int h = 0; h < HOSTS; h++) {
                    sum += h == number ? 0 : reportedInFlight[h][e];
                }
                endpoints().get(e).onPeerLoad(new PeerLoad(sum, 0, 0), nanos(nowMs));
            }
            at(nowMs + REPORT_INTERVAL_MS, () -> report(number, nowMs + REPORT_INTERVAL_MS));
        }

        void send(double nowMs) {
            CatalogService service = new CatalogService("app", "/", 440, SLOTS, 0, 0);
            ChoiceRequest request = new ChoiceRequest(service, Prompt.NONE, 200, 2_600, Set.of());
            Choice choice = chooser.choose(request, nanos(nowMs));
            if (choice.endpoint().isEmpty()) {
                rejected++;
                return;
            }
            EndpointLoadState chosen = choice.endpoint().get();
            loads.onSent(chosen, Prompt.NONE, 0, nanos(nowMs));
            double doneMs = completionMs(endpoints().indexOf(chosen), nowMs);
            served++;
            late += doneMs - nowMs > OBJECTIVE_MS ? 1 : 0;
            at(doneMs, chosen::onRequestEnded);
        }
    }

    private static long nanos(double ms) {
        return (long) (ms * NANOS_PER_MS);
    }

    private void at(double atMs, Runnable action) {
        events.add(new Event(atMs, action));
    }

    private double completionMs(int endpoint, double nowMs) {
        double[] slotFreeAtMs = slotsFreeAtMs[endpoint];
        int first = 0;
        for (int i = 1; i < slotFreeAtMs.length; i++) {
            first = slotFreeAtMs[i] < slotFreeAtMs[first] ? i : first;
        }
        slotFreeAtMs[first] = Math.max(slotFreeAtMs[first], nowMs) + REQUEST_MS;
        return slotFreeAtMs[first];
    }

    private void arrive(double requestsPerSecond, double nowMs) {
        hosts.get(random.nextInt(HOSTS)).send(nowMs);
        double next = nowMs - Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
        at(next, () -> arrive(requestsPerSecond, next));
    }

    private void run(int endpoints, double requestsPerSecond) {
        slotsFreeAtMs = new double[endpoints][SLOTS];
        for (int h = 0; h < HOSTS; h++) {
            hosts.add(new Host(h, endpoints));
        }
        for (int h = 0; h < HOSTS; h++) {
            int number = h;
            double firstMs = random.nextDouble() * REPORT_INTERVAL_MS;
            at(firstMs, () -> hosts.get(number).report(number, firstMs));
        }
        at(0, () -> arrive(requestsPerSecond, 0));
        while (events.peek().atMs() < SIMULATION_MS) {
            events.poll().action().run();
        }
    }

    @Test
    void threeEndpointsAtHalfLoadMeetTheObjective() {
        run(3, 220);
        assertThat(late / (double) served).isLessThan(0.01);
        assertThat(rejected).isEqualTo(0);
    }

    @Test
    void twoEndpointsAtFourFifthsLoadMeetTheObjective() {
        run(2, 220);
        assertThat(late / (double) served).isLessThan(0.03);
        assertThat(rejected / (double) (served + rejected)).isLessThan(0.01);
    }
}
