package org.dragonflygw.core.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class FairQueueTest {
    private final FairQueue<String> queue = new FairQueue<>(12);

    @Nested
    final class Order {
        @Test
        void teamsAreServedInProportionToWeight() {
            for (int i = 0; i < 6; i++) {
                queue.offer("heavy", 2, "h");
                queue.offer("light", 1, "l");
            }
            StringBuilder served = new StringBuilder();
            for (int i = 0; i < 6; i++) {
                served.append(queue.poll(team -> true).orElseThrow());
            }
            assertThat(served.chars().filter(c -> c == 'h').count()).isEqualTo(4);
        }

        @Test
        void burstOfOneTeamDoesNotDelayAnotherTeam() {
            for (int i = 0; i < 6; i++) {
                queue.offer("surging", 1, "s");
            }
            queue.poll(team -> true);
            queue.offer("small", 1, "x");
            assertThat(queue.poll(team -> true).orElseThrow()).isEqualTo("x");
        }

        @Test
        void pollSkipsIneligibleTeams() {
            queue.offer("a", 1, "a");
            queue.offer("b", 1, "b");
            assertThat(queue.poll(team -> team.equals("b")).orElseThrow()).isEqualTo("b");
            assertThat(queue.poll(team -> team.equals("b")).isEmpty()).isTrue();
        }
    }

    @Nested
    final class RejectedItems {
        @Test
        void rejectedItemsDoNotReduceTheShareOfTheTeam() {
            for (int round = 0; round < 200; round++) {
                queue.offer("eager", 1, "e");
                queue.offer("eager", 1, "e");
                queue.offer("eager", 1, "e");
                queue.offer("calm", 1, "c");
                queue.poll(team -> true);
            }
            int eager = 0;
            for (int i = 0; i < 100; i++) {
                eager += queue.poll(team -> true).orElseThrow().equals("e") ? 1 : 0;
                queue.offer("eager", 1, "e");
                queue.offer("calm", 1, "c");
            }
            assertThat(eager).isIn(com.google.common.collect.Range.closed(45, 55));
        }
    }

    @Nested
    final class FullQueue {
        @Test
        void rejectsItemOfTheFullestTeam() {
            for (int i = 0; i < 12; i++) {
                queue.offer("surging", 1, "s" + i);
            }
            assertThat(queue.offer("surging", 1, "last").orElseThrow()).isEqualTo("last");
        }

        @Test
        void evictsNewestItemOfTheFullestTeamForATeamBelowItsShare() {
            for (int i = 0; i < 12; i++) {
                queue.offer("surging", 1, "s" + i);
            }
            assertThat(queue.offer("small", 1, "x").orElseThrow()).isEqualTo("s11");
            assertThat(queue.size()).isEqualTo(12);
            assertThat(queue.size("small")).isEqualTo(1);
        }
    }
}
