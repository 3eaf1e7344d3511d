package org.dragonflygw.core.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.dragonflygw.core.ManualMonotonicClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RelayPeersTest {
    private static final String SERVICE = "llm";

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final List<String> hosts = new ArrayList<>(List.of("a", "b", "c"));
    private final RelayPeers peers = new RelayPeers(() -> hosts, new Random(1), clock);

    @Nested
    final class Order {
        @Test
        void startsWithAHostThatServed() {
            peers.onServed(SERVICE, "c");
            for (int i = 0; i < 20; i++) {
                assertThat(peers.candidates(SERVICE)).hasSize(3);
                assertThat(peers.candidates(SERVICE).get(0)).isEqualTo("c");
            }
        }

        @Test
        void leavesOutAHostThatFailedForAWhile() {
            peers.onFailed(SERVICE, "b");
            assertThat(peers.candidates(SERVICE)).containsExactly("a", "c");
            clock.advanceMs(1_100);
            assertThat(peers.candidates(SERVICE)).containsExactly("a", "b", "c");
        }

        @Test
        void differsBetweenServices() {
            peers.onFailed(SERVICE, "b");
            assertThat(peers.candidates("app")).containsExactly("a", "b", "c");
        }

        @Test
        void isEmptyWhenAllFailed() {
            hosts.forEach(h -> peers.onFailed(SERVICE, h));
            assertThat(peers.candidates(SERVICE)).isEmpty();
            assertThat(peers.anyHost()).isTrue();
        }
    }

    /** Guards against requests that find no host, or all the same one, in a fleet of which most hosts are cut off. */
    @Nested
    final class LargeFleets {
        private static final int HOSTS = 401;
        private static final int SOUND_EVERY = 5;

        @Test
        void askFewHostsAndSpreadTheLoad() {
            hosts.clear();
            int[] served = new int[HOSTS];
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(Integer.toString(i));
            }
            int requests = 3_000;
            int found = 0;
            int asked = 0;
            for (int sender = 0; sender < 100; sender++) {
                RelayPeers own = new RelayPeers(() -> hosts, new Random(sender), clock);
                for (int i = 0; i < requests / 100; i++) {
                    for (String host : own.candidates(SERVICE)) {
                        asked++;
                        int number = Integer.parseInt(host);
                        if (number % SOUND_EVERY == 0) {
                            own.onServed(SERVICE, host);
                            served[number]++;
                            found++;
                            break;
                        }
                        own.onFailed(SERVICE, host);
                    }
                }
            }
            assertThat(found).isAtLeast(requests * 9 / 10);
            assertThat(asked).isAtMost(requests * 3 / 2);
            int mean = found / (HOSTS / SOUND_EVERY);
            for (int n : served) {
                assertThat(n).isAtMost(6 * mean);
            }
        }
    }
}
