package org.dragonflygw.core.peers;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.crash.CrashSuspects;
import org.dragonflygw.core.crash.CrashingParts;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HostReportFactoryTest {
    private static final int ROUNDS = 12;

    private final EndpointLoads loads = new EndpointLoads();
    private final HostReportFactory factory = new HostReportFactory(
            "h1",
            new HostAddress("10.0.0.1", 7_000),
            1,
            loads,
            new CrashSuspects(new NoOpEventLog()),
            new CrashingParts(new NoOpEventLog()),
            new ManualMonotonicClock());

    @BeforeEach
    void sendPrompt() {
        loads.onUpdated(new DiscoveredEndpoint("e1", "s", "10.0.0.2", 80, "a", 4, false, 0, 1, "v1"));
        Prompt prompt = new Prompt(List.of(new PromptPart(1, 500), new PromptPart(2, 100)), 600, 100);
        loads.onSent(loads.get("e1").orElseThrow(), prompt, 600, 0);
    }

    /** A reader of the store sends short reports more often than the others; its peers need its prefixes all the same. */
    @Test
    void shortReportsDoNotUseUpThePromptPrefixes() {
        for (int i = 0; i < 2 * ROUNDS; i++) {
            HostReport shortReport = factory.nextWithoutHoldings(StoreNews.NONE);
            assertThat(shortReport.holdings()).isEmpty();
            assertThat(shortReport.uses()).hasSize(1);
            HostReport next = factory.next(ROUNDS, StoreNews.NONE);
            assertThat(next.newerThan(shortReport)).isTrue();
            assertThat(next.holdings()).hasSize(1);
        }
        assertThat(factory.next(ROUNDS, StoreNews.NONE).holdings()).isEmpty();
    }
}
