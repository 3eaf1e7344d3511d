package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.ratelimit.EndpointRates;
import org.junit.jupiter.api.Test;

final class RendezvousOrderTest {
    private static final long KEY = 0xb698e7108f5L;

    private static List<EndpointLoadState> engines(int count) {
        List<EndpointLoadState> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new EndpointLoadState(
                    new DiscoveredEndpoint("i-" + i, "s", "10.0.0.1", 80, "a", 8, false, 0, 1, "v1"),
                    new ServiceTraffic(1_000),
                    new QuietTime(),
                    new EndpointRates().of("i-" + i, 1)));
        }
        return engines;
    }

    private static List<String> ordered(List<EndpointLoadState> engines) {
        RendezvousOrder order = new RendezvousOrder(engines, KEY);
        String[] ids = new String[engines.size()];
        for (int i = 0; i < ids.length; i++) {
            ids[order.rank(i)] = engines.get(i).entry().id();
        }
        return List.of(ids);
    }

    @Test
    void ranksAreUnique() {
        assertThat(ordered(engines(600))).containsNoDuplicates();
    }

    @Test
    void removingAnEngineKeepsTheOrderOfTheOthers() {
        List<EndpointLoadState> engines = engines(63);
        List<String> before = new ArrayList<>(ordered(engines));
        before.remove("i-7");
        engines.remove(7);
        assertThat(ordered(engines)).containsExactlyElementsIn(before).inOrder();
    }

    @Test
    void orderIsIndependentOfListOrder() {
        List<EndpointLoadState> engines = engines(63);
        List<String> before = ordered(engines);
        Collections.reverse(engines);
        assertThat(ordered(engines)).isEqualTo(before);
    }

    @Test
    void allRanksAreZeroWithoutSharedKey() {
        RendezvousOrder order = new RendezvousOrder(engines(3), 0);
        assertThat(order.rank(0) + order.rank(1) + order.rank(2)).isEqualTo(0);
    }
}
