package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * Simulates six hosts after most engines of a service have failed for a while: the failing ones are avoided by their
 * scores, and prompts with a few shared prefixes go to the few engines that hold them. Guards against hosts that all
 * send to the same engine between two reports, so that it holds more than the allowed multiple of the mean.
 */
final class FewSoundEnginesTest {
    private static final int HOSTS = 6;
    private static final int ENGINES = 13;
    private static final int SOUND_ENGINES = 4;
    private static final int PREFIXES = 12;
    private static final int PREFIX_TOKENS = 6_000;
    private static final int OWN_TOKENS = 400;
    private static final double CAP_FACTOR = 2;
    private static final int CAP_SLACK = 3;
    private static final double FAILURE_SCORE = 3;
    private static final double REQUESTS_PER_S = 68;
    private static final double REPORT_INTERVAL_MS = 200;
    private static final double STREAM_MS = 2_500;
    private static final double FIRST_TOKEN_MS = 30;
    private static final double CALM_MS = 10_000;
    private static final double RECOVERY_MS = 3_000;
    private static final double SIMULATION_MS = 18_000;
    private static final long NANOS_PER_MS = 1_000_000;

    /** Share of the requests that may reach an engine over the limit, as the platform's rule allows. */
    private static final double LIMIT_SHARE = 0.03;

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
    private final List<Host> hosts = new ArrayList<>();
    private final int[] inFlight = new int[ENGINES];
    private final Deque<Send> sends = new ArrayDeque<>();
    private SplittableRandom random;

    private record Event(double atMs, Runnable action) {}

    private record Send(double atMs, boolean overLimit) {}

    private final class Host {
        private final EndpointLoads loads = new EndpointLoads();
        private final int[][] reported = new int[HOSTS][ENGINES];
        private final ExpectedTimeChooser chooser = new ExpectedTimeChooser(
                loads, () -> new DispatchSettings("a", CAP_FACTOR), (candidates, now) -> candidates);

        Host() {
            for (int i = 0; i < ENGINES; i++) {
                loads.onUpdated(new DiscoveredEndpoint("e" + i, "llm", "10.0.0.1", 80, "a", 64, false, 0, 1, "v1"));
            }
        }

        List<EndpointLoadState> engines() {
            return loads.ofService("llm");
        }

        void report(int number, double nowMs) {
            for (Host h : hosts) {
                for (int e = 0; e < ENGINES; e++) {
                    h.reported[number][e] = engines().get(e).inFlight();
                }
            }
            for (int e = 0; e < ENGINES; e++) {
                int sum = 0;
                for (int h = 0; h < HOSTS; h++) {
                    sum += h == number ? 0 : reported[h][e];
                }
                engines().get(e).onPeerLoad(new PeerLoad(sum, 0, 0), nanos(nowMs));
            }
            at(nowMs + REPORT_INTERVAL_MS, () -> report(number, nowMs + REPORT_INTERVAL_MS));
        }

        void send(double nowMs) {
            int prefix = random.nextInt(random.nextInt(PREFIXES) + 1);
            Prompt prompt = new Prompt(
                    List.of(new PromptPart(prefix + 1, PREFIX_TOKENS), new PromptPart(random.nextLong(), OWN_TOKENS)),
                    PREFIX_TOKENS + OWN_TOKENS,
                    300);
            CatalogService service = new CatalogService("llm", "/", 360, 64, 600_000, 18_432);
            ChoiceRequest request = new ChoiceRequest(service, prompt, 800, 15_000, Set.of());
            Choice choice = chooser.choose(request, nanos(nowMs));
            EndpointLoadState chosen = choice.endpoint().orElseThrow();
            int e = engines().indexOf(chosen);
            double mean = 0;
            for (int n : inFlight) {
                mean += n / (double) ENGINES;
            }
            sends.add(new Send(nowMs, inFlight[e] > CAP_FACTOR * mean + CAP_SLACK));
            inFlight[e]++;
            loads.onSent(chosen, prompt, choice.uncachedTokens(), nanos(nowMs));
            for (Host h : hosts) {
                if (h != this) {
                    h.engines().get(e).onPromptSentByPeer(prompt.sharedParts(), nanos(nowMs));
                }
            }
            double firstMs =
                    nowMs + FIRST_TOKEN_MS + choice.uncachedTokens() / ServiceSpeeds.INITIAL_READ_TOKENS_PER_MS;
            at(firstMs, () -> {
                chosen.onPromptRead(choice.uncachedTokens());
                chosen.onLoadReport(new LoadReport(inFlight[e], 0, 64), nanos(firstMs));
            });
            at(firstMs + random.nextDouble() * 2 * STREAM_MS, () -> {
                chosen.onRequestEnded();
                inFlight[e]--;
            });
        }
    }

    private static long nanos(double ms) {
        return (long) (ms * NANOS_PER_MS);
    }

    private void at(double atMs, Runnable action) {
        events.add(new Event(atMs, action));
    }

    private void arrive(double nowMs) {
        hosts.get(random.nextInt(HOSTS)).send(nowMs);
        double next = nowMs - Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_S;
        at(next, () -> arrive(next));
    }

    private void fail(double nowMs) {
        for (Host h : hosts) {
            for (int e = SOUND_ENGINES; e < ENGINES; e++) {
                EndpointLoadState engine = h.engines().get(e);
                engine.onFailure(Math.max(0, FAILURE_SCORE - engine.ownFailureScore(nanos(nowMs))), nanos(nowMs));
            }
        }
        if (nowMs < CALM_MS) {
            at(nowMs + REPORT_INTERVAL_MS, () -> fail(nowMs + REPORT_INTERVAL_MS));
        }
    }

    /** Share of the sends in the five seconds after the recovery that reached an engine over the limit. */
    private double shareOverLimit(long seed) {
        random = new SplittableRandom(seed);
        events.clear();
        hosts.clear();
        sends.clear();
        Arrays.fill(inFlight, 0);
        for (int h = 0; h < HOSTS; h++) {
            hosts.add(new Host());
        }
        for (int h = 0; h < HOSTS; h++) {
            int number = h;
            double firstMs = random.nextDouble() * REPORT_INTERVAL_MS;
            at(firstMs, () -> hosts.get(number).report(number, firstMs));
        }
        at(0, () -> arrive(0));
        at(0, () -> fail(0));
        while (events.peek().atMs() < SIMULATION_MS) {
            events.poll().action().run();
        }
        List<Send> counted = sends.stream()
                .filter(s -> s.atMs() >= CALM_MS + RECOVERY_MS && s.atMs() < SIMULATION_MS)
                .toList();
        return counted.stream().filter(Send::overLimit).count() / (double) counted.size();
    }

    @Property(tries = 30, seed = "20261204")
    void loadStaysNearTheMean(@ForAll long seed) {
        assertThat(shareOverLimit(seed)).isAtMost(LIMIT_SHARE);
    }
}
