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
        end(part, endpoint, second, true, 0.1);
    }

    private void end(long part, String endpoint, long second, boolean begun, double chance) {
        PartLoss loss = new PartLoss(second * SECOND - SECOND / 2, second * SECOND, begun, chance);
        suspects.merge(part, new PartLosses(Map.of(endpoint, loss)), (a, b) -> a.with(b.byEndpoint()));
        ended.put(endpoint, second * SECOND + 1);
    }

    private PartBlame blame() {
        return PartBlame.of(suspects, new EndpointEnds(ended, 10));
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

    /** Losses of prompts of which nothing was read: they may have waited. */
    @Nested
    final class UnreadPrompts {
        private void end(String endpoint, long second, double chance) {
            PartBlameTest.this.end(7, endpoint, second, false, chance);
        }

        @Test
        void areBlamedOnceChanceDoesNotExplainTheLosses() {
            for (int i = 1; i <= 4; i++) {
                end("e" + i, i, 0.1);
                assertThat(blame().names(7)).isFalse();
            }
            end("e5", 5, 0.1);
            assertThat(blame().names(7)).isTrue();
        }

        @Test
        void needMoreLossesTheMorePromptsAreLost() {
            for (int i = 1; i <= 7; i++) {
                end("e" + i, i, 0.4);
            }
            assertThat(blame().names(7)).isFalse();
            end("e8", 8, 0.4);
            assertThat(blame().names(7)).isTrue();
        }

        @Test
        void needMoreLossesWhileEndpointsEndWithoutThem() {
            for (int i = 1; i <= 5; i++) {
                end("e" + i, i, 0.09);
                ended.put("other-" + i, i * SECOND);
                ended.put("another-" + i, i * SECOND);
            }
            assertThat(blame().names(7)).isFalse();
            end("e6", 6, 0.09);
            assertThat(blame().names(7)).isTrue();
        }

        /** Guards against a sound part that is blamed for endpoints which fail together again and again. */
        @Test
        void areNoEvidenceWhereMostEndpointsEndTogether() {
            for (int i = 1; i <= 10; i++) {
                end("e" + i, i, 0.1);
                for (int j = 0; j < 8; j++) {
                    ended.put("e" + i + "-" + j, i * SECOND);
                }
            }
            assertThat(blame().names(7)).isFalse();
        }
    }
}
