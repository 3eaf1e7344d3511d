package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Test;

/** Guards against engines that end because the requests that they hold exceed their memory. */
final class EngineMemoryTest {
    private static final long NOW = 1_000_000_000_000L;
    private static final long MEMORY_TOKENS = 100_000;
    private static final CatalogService SERVICE = new CatalogService("llm", "/", 520, 64, MEMORY_TOKENS, 0);

    private final EndpointLoads loads = new EndpointLoads();
    private final ExpectedTimeChooser chooser =
            new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 100), (all, now) -> all);

    EngineMemoryTest() {
        loads.onUpdated(new DiscoveredEndpoint("e", "llm", "h", 80, "a", 64, false, 0, 1, "v1"));
    }

    private static Prompt prompt(int tokens) {
        return new Prompt(List.of(new PromptPart(1, tokens)), tokens, 300);
    }

    private Choice choose(Prompt prompt) {
        return chooser.choose(new ChoiceRequest(SERVICE, prompt, 60_000, 600_000, Set.of()), NOW);
    }

    private EndpointLoadState engine() {
        return loads.get("e").orElseThrow();
    }

    private int sentUntilFull(Prompt prompt) {
        int sent = 0;
        while (sent < 64 && choose(prompt).endpoint().isPresent()) {
            loads.onSent(engine(), prompt, 0, NOW);
            sent++;
        }
        return sent;
    }

    @Test
    void requestsOfThisHostStayBelowIt() {
        assertThat(sentUntilFull(prompt(11_800))).isEqualTo(7);
        assertThat(choose(prompt(11_800)).reason()).isEqualTo(UnavailableReason.BUSY);
        engine().onRequestEnded(prompt(11_800));
        assertThat(choose(prompt(11_800)).endpoint()).isPresent();
    }

    @Test
    void requestsOfOtherHostsCountByTheirNumber() {
        for (int i = 0; i < 200; i++) {
            loads.onSent(engine(), prompt(11_800), 0, NOW);
            engine().onRequestEnded(prompt(11_800));
        }
        engine().onPeerLoad(new PeerLoad(5, 0, 0), NOW);
        assertThat(sentUntilFull(prompt(11_800))).isEqualTo(2);
    }

    /** Guards against long prompts that are never served. */
    @Test
    void promptThatNeedsAllOfItPassesOnAnIdleEngine() {
        assertThat(choose(prompt(99_900)).endpoint()).isPresent();
        assertThat(choose(prompt(500_000)).endpoint()).isPresent();
        loads.onSent(engine(), prompt(100), 0, NOW);
        assertThat(choose(prompt(99_900)).endpoint()).isEmpty();
    }

    @Test
    void cachedPartsAreBoundedByIt() {
        choose(prompt(100));
        Prompt large = new Prompt(List.of(new PromptPart(7, 60_000), new PromptPart(8, 60_000)), 120_000, 0);
        loads.onSent(engine(), large, 0, NOW);
        assertThat(engine().cached().cachedTokens(large)).isEqualTo(0);
    }
}
