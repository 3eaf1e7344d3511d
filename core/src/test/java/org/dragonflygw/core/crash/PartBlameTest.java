package org.dragonflygw.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PartBlameTest {
    private static final long SECOND = 1_000_000_000L;

    private final Map<Long, PartLosses> suspects = new HashMap<>();
    private final Map<String, Long> ended = new HashMap<>();

    /** Adds an end of an endpoint in some second, under a request that was sent half a second before. */
    private void end(long part, String endpoint, long second) {
        PartLoss loss = new PartLoss(second * SECOND - SECOND / 2, second * SECOND);
        suspects.merge(part, new PartLosses(Map.of(endpoint, loss)), (a, b) -> a.with(b.byEndpoint()));
        ended.put(endpoint, second * SECOND + 1);
    }

    private PartBlame blame() {
        return PartBlame.of(suspects, ended);
    }

    @Nested
    final class OnePart {
        @Test
        void isBlamedForThreeEndsOneAfterTheOther() {
            end(7, "a", 1);
            end(7, "b", 2);
            assertThat(blame().names(7)).isFalse();
            end(7, "c", 3);
            assertThat(blame().blocking(List.of(1L, 7L))).containsExactly(7L);
        }

        /** Guards against all endpoints of a service that end at once, under whatever they run. */
        @Test
        void isNotBlamedForEndpointsThatEndTogether() {
            for (String endpoint : List.of("a", "b", "c", "d", "e")) {
                end(7, endpoint, 1);
            }
            assertThat(blame().names(7)).isFalse();
        }

        @Test
        void needsMoreEndsWhileOthersEndWithoutIt() {
            for (int i = 0; i < 5; i++) {
                ended.put("other-" + i, SECOND);
            }
            end(7, "a", 1);
            end(7, "b", 2);
            end(7, "c", 3);
            end(7, "d", 4);
            assertThat(blame().names(7)).isFalse();
            end(7, "e", 5);
            assertThat(blame().names(7)).isTrue();
        }
    }

    @Nested
    final class SeveralParts {
        /** Guards against a sound part that is blocked because it stands beside the one that ends endpoints. */
        @Test
        void withTheSameEndsBlockOnlyTogether() {
            for (int i = 1; i <= 3; i++) {
                end(7, "e" + i, i);
                end(8, "e" + i, i);
            }
            assertThat(blame().blocking(List.of(7L))).isEmpty();
            assertThat(blame().blocking(List.of(8L))).isEmpty();
            assertThat(blame().blocking(List.of(7L, 8L))).isNotEmpty();
        }

        @Test
        void areToldApartByOneMoreEnd() {
            for (int i = 1; i <= 3; i++) {
                end(7, "e" + i, i);
                end(8, "e" + i, i);
            }
            end(8, "e4", 4);
            assertThat(blame().blocking(List.of(7L))).isEmpty();
            assertThat(blame().blocking(List.of(8L))).containsExactly(8L);
        }

        @Test
        void areBlamedEachForItsOwnEnds() {
            for (int i = 1; i <= 4; i++) {
                end(7, "e" + i, i);
                end(8, "f" + i, i + 4);
            }
            assertThat(blame().parts()).containsExactly(7L, 8L);
        }
    }
}
