package org.dragonflygw.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SlotSearchTest {
    private static final long REMAINING_MILLIS = 10_000;
    private static final long COLD_MILLIS = 700;

    private final EndpointTable table =
            EndpointTable.of(List.of(endpoint("e0"), endpoint("e1"), endpoint("e2"), endpoint("e3")));
    private final SlotSearch search = search(Set.of());

    @Nested
    final class Order {
        @Test
        void waitsForTheTimeOfAColdPrefillAtTheFirstCandidateOnly() {
            assertThat(ask("e0").maxWaitMillis()).isEqualTo(COLD_MILLIS);
            refuse(SlotStatus.OVERLOADED, 500);
            assertThat(ask("e1").maxWaitMillis()).isEqualTo(0);
        }

        @Test
        void queuesAtTheCandidateWithTheShortestWaitWhenAllAreFull() {
            ask("e0");
            refuse(SlotStatus.OVERLOADED, 900);
            ask("e1");
            refuse(SlotStatus.OVERLOADED, 300);
            ask("e2");
            refuse(SlotStatus.OVERLOADED, 600);
            SlotRequest last = ask("e1");
            assertThat(last.lastResort()).isTrue();
            assertThat(last.maxWaitMillis()).isEqualTo(REMAINING_MILLIS);
            refuse(SlotStatus.DEADLINE, 300);
            assertThat(search.next(REMAINING_MILLIS)).isEqualTo(Optional.empty());
            assertThat(search.retryAfterMillis()).isEqualTo(300);
        }

        @Test
        void skipsExcludedEndpoints() {
            SlotSearch other = search(Set.of("e0"));
            assertThat(other.next(REMAINING_MILLIS).orElseThrow().endpoint().id())
                    .isEqualTo("e1");
            assertThat(other.firstUnavailable()).isTrue();
        }

        @Test
        void restartsWhenOnlyTheLoadBoundHoldsSlotsBack() {
            for (int round = 0; round < 2; round++) {
                for (String id : List.of("e0", "e1", "e2", "e0")) {
                    ask(id);
                    search.onDecision(SlotDecision.refused(SlotStatus.OVERLOADED, 1, 500, 1)
                            .withRefusalDetails(false, true));
                }
            }
            assertThat(search.hasRestarted()).isTrue();
        }
    }

    @Nested
    final class Redirects {
        @Test
        void asksTheEngineThatHoldsTheCacheOfTheChat() {
            ask("e0");
            search.onDecision(new SlotDecision(SlotStatus.REDIRECTED, 0, 1, 0, 0, 0, "e3", 1, false, false));
            assertThat(ask("e3").followRedirect()).isFalse();
            grant();
            assertThat(search.isSpilled()).isTrue();
        }

        @Test
        void returnsToTheFirstCandidateWhenThatEngineIsFull() {
            ask("e0");
            search.onDecision(new SlotDecision(SlotStatus.REDIRECTED, 0, 1, 0, 0, 0, "e3", 1, false, false));
            ask("e3");
            refuse(SlotStatus.OVERLOADED, 500);
            assertThat(ask("e0").followRedirect()).isFalse();
        }
    }

    @Nested
    final class Duplicates {
        @Test
        void askNoOtherEndpointWhileTheSameRequestIsInFlight() {
            ask("e0");
            search.onDecision(
                    SlotDecision.refused(SlotStatus.OVERLOADED, 1, 500, 1).withRefusalDetails(true, false));
            assertThat(ask("e0").lastResort()).isTrue();
            refuse(SlotStatus.OVERLOADED, 500);
            assertThat(search.next(REMAINING_MILLIS)).isEqualTo(Optional.empty());
        }
    }

    @Test
    void quarantineEndsTheSearch() {
        ask("e0");
        refuse(SlotStatus.QUARANTINED, 60_000);
        assertThat(search.next(REMAINING_MILLIS)).isEqualTo(Optional.empty());
        assertThat(search.refusalStatus()).isEqualTo(SlotStatus.QUARANTINED);
    }

    private SlotRequest ask(String expectedEndpoint) {
        SlotQuery question = search.next(REMAINING_MILLIS).orElseThrow();
        assertThat(question.endpoint().id()).isEqualTo(expectedEndpoint);
        return question.request();
    }

    private void refuse(SlotStatus status, long retryAfterMillis) {
        search.onDecision(SlotDecision.refused(status, 1, retryAfterMillis, 1));
    }

    private void grant() {
        search.onDecision(new SlotDecision(SlotStatus.GRANTED, 1, 1, 20_000, 0, 0, "", 1, false, false));
    }

    private SlotSearch search(Set<String> excluded) {
        SearchRequest request = new SearchRequest("r", "team", 1, new CandidateKey(1, 2, 100), 3, COLD_MILLIS, false);
        return new SlotSearch(request, table, new int[] {0, 1, 2}, excluded);
    }

    private static Endpoint endpoint(String id) {
        return new Endpoint(id, "pool", "127.0.0.1", 1, "a", "r", 1, EndpointState.LIVE);
    }
}
