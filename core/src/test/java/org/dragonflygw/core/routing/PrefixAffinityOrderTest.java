package org.dragonflygw.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PrefixAffinityOrderTest {
    private static final int PREFIXES = 400;

    private final PrefixAffinityOrder order = new PrefixAffinityOrder(new HotPrefixTracker(64, 4_096), 1);

    @Nested
    final class ColdPrefixes {
        @Test
        void routersRankThemInTheSameOrder() {
            PrefixAffinityOrder other = new PrefixAffinityOrder(new HotPrefixTracker(64, 4_096), 1);
            EndpointTable table = EndpointTable.of(engines(0, 12));
            for (int i = 0; i < PREFIXES; i++) {
                CandidateKey key = key(i, i);
                assertThat(order.rank(key, table, 3)).isEqualTo(other.rank(key, table, 3));
            }
        }

        @Test
        void spreadEvenlyOverTheEngines() {
            EndpointTable table = EndpointTable.of(engines(0, 12));
            int[] counts = new int[12];
            for (int i = 0; i < 12_000; i++) {
                counts[order.rank(key(i, i), table, 1)[0]]++;
            }
            for (int count : counts) {
                assertThat(count).isIn(com.google.common.collect.Range.closed(850, 1_150));
            }
        }

        @Test
        void replacedEngineMovesOnlyItsOwnPrefixes() {
            EndpointTable before = EndpointTable.of(engines(0, 12));
            EndpointTable after = EndpointTable.of(engines(1, 13));
            for (int i = 0; i < PREFIXES; i++) {
                String old = first(key(i, i), before);
                String now = first(key(i, i), after);
                boolean mayMove = old.equals("e0") || now.equals("e12");
                assertThat(old.equals(now) || mayMove).isTrue();
            }
        }

        @Test
        void shareOfAnEngineFollowsItsCapacity() {
            List<Endpoint> engines = new ArrayList<>(engines(0, 3));
            engines.add(engine("big", 3, EndpointState.LIVE));
            EndpointTable table = EndpointTable.of(engines);
            int big = 0;
            for (int i = 0; i < 6_000; i++) {
                big += first(key(i, i), table).equals("big") ? 1 : 0;
            }
            assertThat(big).isIn(com.google.common.collect.Range.closed(2_800, 3_200));
        }
    }

    @Nested
    final class HotPrefixes {
        @Test
        void spreadOverAsManyEnginesAsTheirShareNeeds() {
            EndpointTable table = EndpointTable.of(engines(0, 12));
            Set<String> used = new HashSet<>();
            for (int i = 0; i < 4_000; i++) {
                boolean hot = i % 4 == 0;
                String engine = first(key(hot ? -1 : i, i), table);
                if (hot && i > 1_000) {
                    used.add(engine);
                }
            }
            assertThat(used.size()).isIn(com.google.common.collect.Range.closed(3, 4));
        }

        @Test
        void chatKeepsItsEngine() {
            EndpointTable table = EndpointTable.of(engines(0, 12));
            String[] engines = new String[100];
            for (int i = 0; i < 4_000; i++) {
                String engine = first(key(i % 5, i % 100), table);
                if (i >= 2_000) {
                    String before = engines[i % 100];
                    engines[i % 100] = engine;
                    assertThat(engine).isEqualTo(before == null ? engine : before);
                }
            }
        }
    }

    @Test
    void emptyTableGivesNoCandidate() {
        assertThat(order.rank(key(1, 1), EndpointTable.of(List.of()), 3)).isEmpty();
    }

    @Test
    void leavingEnginesAreNoCandidates() {
        EndpointTable table = EndpointTable.of(List.of(engine("e0", 1, EndpointState.LEAVING)));
        assertThat(table.size()).isEqualTo(0);
    }

    private String first(CandidateKey key, EndpointTable table) {
        return table.endpoint(order.rank(key, table, 1)[0]).id();
    }

    private static CandidateKey key(long prefix, long chat) {
        return new CandidateKey(RoutingHash.mix(1, prefix), RoutingHash.mix(prefix, chat), 1_000);
    }

    private static List<Endpoint> engines(int from, int to) {
        List<Endpoint> engines = new ArrayList<>();
        for (int i = from; i < to; i++) {
            engines.add(engine("e" + i, 1, EndpointState.LIVE));
        }
        return engines;
    }

    private static Endpoint engine(String id, int capacity, EndpointState state) {
        return new Endpoint(id, "pool", "127.0.0.1", 1, "a", "r", capacity, state);
    }
}
