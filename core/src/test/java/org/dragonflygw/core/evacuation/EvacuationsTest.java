package org.dragonflygw.core.evacuation;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EvacuationsTest {
    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final EvacuatedZones zones = new EvacuatedZones();
    private final Evacuations evacuations = new Evacuations(zones, zone -> 0, new NoOpEventLog(), clock);

    private static EvacuationChange written(String zone, long version) {
        return new EvacuationChange(zone, version, true);
    }

    private static EvacuationChange removed(String zone, long version) {
        return new EvacuationChange(zone, version, false);
    }

    @Nested
    final class Reads {
        @Test
        void firstListingBringsTheEvacuation() {
            evacuations.onListing(List.of("a"), 7);
            assertThat(zones.contains("a")).isTrue();
            assertThat(zones.contains("b")).isFalse();
            assertThat(evacuations.news()).isEqualTo(new EvacuationNews(7, List.of("a")));
        }

        /** A full listing does not contain removed rows. */
        @Test
        void listingWithoutTheRowEndsTheEvacuation() {
            evacuations.onListing(List.of("a"), 7);
            evacuations.onListing(List.of(), 9);
            assertThat(zones.count()).isEqualTo(0);
        }

        @Test
        void deletedRowEndsTheEvacuation() {
            evacuations.onListing(List.of(), 7);
            evacuations.onChanges(List.of(written("a", 8)), 8);
            assertThat(zones.contains("a")).isTrue();
            evacuations.onChanges(List.of(removed("a", 9)), 9);
            assertThat(zones.contains("a")).isFalse();
        }

        @Test
        void changesApplyInTheOrderOfTheirVersions() {
            evacuations.onListing(List.of(), 7);
            evacuations.onChanges(List.of(written("a", 10), removed("a", 9), written("a", 8)), 10);
            assertThat(zones.contains("a")).isTrue();
        }

        @Test
        void changesOfOtherRowsAdvanceTheVersion() {
            evacuations.onListing(List.of("a"), 7);
            evacuations.onChanges(List.of(), 12);
            assertThat(evacuations.news()).isEqualTo(new EvacuationNews(12, List.of("a")));
        }
    }

    @Nested
    final class News {
        @Test
        void laterNewsReplaceTheState() {
            evacuations.onListing(List.of("a"), 7);
            evacuations.onNews(new EvacuationNews(9, List.of("b")));
            assertThat(zones.contains("a")).isFalse();
            assertThat(zones.contains("b")).isTrue();
        }

        /** Guards against news that were sent before the removal and arrive after it. */
        @Test
        void earlierNewsDoNotBringAnEvacuationBack() {
            evacuations.onListing(List.of("a"), 7);
            evacuations.onChanges(List.of(removed("a", 8)), 8);
            evacuations.onNews(new EvacuationNews(7, List.of("a")));
            assertThat(zones.contains("a")).isFalse();
        }

        /** Guards against news that were sent between a removal and a new evacuation and arrive after both. */
        @Test
        void earlierNewsDoNotEndANewEvacuation() {
            evacuations.onListing(List.of("a"), 7);
            evacuations.onChanges(List.of(removed("a", 8), written("a", 9)), 9);
            evacuations.onNews(new EvacuationNews(8, List.of()));
            assertThat(zones.contains("a")).isTrue();
        }

        /** Guards against a slow response of the store that arrives after news. */
        @Test
        void earlierReadDoesNotChangeLaterNews() {
            evacuations.onListing(List.of(), 7);
            evacuations.onNews(new EvacuationNews(9, List.of()));
            evacuations.onChanges(List.of(written("a", 8)), 8);
            evacuations.onListing(List.of("a"), 8);
            assertThat(zones.contains("a")).isFalse();
        }

        /** Hosts of an earlier program, and hosts that have read nothing, do not know the zones. */
        @Test
        void unknownNewsChangeNothing() {
            evacuations.onListing(List.of("a"), 7);
            evacuations.onNews(EvacuationNews.UNKNOWN);
            assertThat(zones.contains("a")).isTrue();
        }

        @Test
        void tooManyZonesAreAppliedButNotSent() {
            List<String> many = new ArrayList<>();
            for (int i = 0; i <= EvacuationNews.MAX_ZONES; i++) {
                many.add("zone-" + i);
            }
            evacuations.onListing(many, 7);
            assertThat(zones.count()).isEqualTo(many.size());
            assertThat(evacuations.news().isKnown()).isFalse();
        }

        /** Two hosts exchange their state in any order while the operator writes and removes the row. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6})
        void stateIsAlwaysThatOfItsVersion(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            List<Boolean> evacuatedAt = new ArrayList<>(List.of(false));
            List<EvacuationNews> sent = new ArrayList<>();
            evacuations.onListing(List.of(), 0);
            for (int i = 0; i < 2_000; i++) {
                int newest = evacuatedAt.size() - 1;
                int from = (int) evacuations.version();
                int upTo = from + random.nextInt(newest - from + 1);
                switch (random.nextInt(5)) {
                    case 0 -> evacuatedAt.add(!evacuatedAt.get(newest));
                    case 1 -> evacuations.onListing(evacuatedAt.get(upTo) ? List.of("a") : List.of(), upTo);
                    case 2 -> {
                        List<EvacuationChange> changes = new ArrayList<>();
                        for (int v = Math.max(1, upTo - 3); v <= upTo; v++) {
                            changes.add(new EvacuationChange("a", v, evacuatedAt.get(v)));
                        }
                        if (upTo - 3 <= from + 1) {
                            evacuations.onChanges(changes, upTo);
                        }
                    }
                    case 3 -> sent.add(evacuations.news());
                    default -> {
                        if (!sent.isEmpty()) {
                            evacuations.onNews(sent.get(random.nextInt(sent.size())));
                        }
                    }
                }
                assertThat(zones.contains("a")).isEqualTo(evacuatedAt.get((int) evacuations.version()));
            }
        }
    }

    @Nested
    final class StoreBackFromACopy {
        @Test
        void stateHoldsUntilItIsReadAgain() {
            evacuations.onListing(List.of("a"), 70);
            evacuations.onNewEra();
            assertThat(zones.contains("a")).isTrue();
            assertThat(evacuations.news().isKnown()).isFalse();
        }

        /** Versions are given out again, so the lower version of the copy is the later one. */
        @Test
        void lowerVersionOfTheNewEraCounts() {
            evacuations.onListing(List.of(), 70);
            evacuations.onNewEra();
            evacuations.onListing(List.of("a"), 60);
            assertThat(zones.contains("a")).isTrue();
        }

        @Test
        void lostEvacuationHoldsForAWhile() {
            evacuations.onListing(List.of("a"), 70);
            evacuations.onNewEra();
            evacuations.onListing(List.of(), 60);
            clock.advanceMs(9_999);
            evacuations.releaseHeld();
            assertThat(zones.contains("a")).isTrue();
            clock.advanceMs(1);
            evacuations.releaseHeld();
            assertThat(zones.contains("a")).isFalse();
        }

        @Test
        void lostEvacuationThatIsWrittenAgainStays() {
            evacuations.onListing(List.of("a"), 70);
            evacuations.onNewEra();
            evacuations.onListing(List.of(), 60);
            evacuations.onChanges(List.of(written("a", 61)), 61);
            clock.advanceMs(20_000);
            evacuations.releaseHeld();
            assertThat(zones.contains("a")).isTrue();
        }

        @Test
        void removalInTheNewEraEndsALostEvacuation() {
            evacuations.onListing(List.of("a"), 70);
            evacuations.onNewEra();
            evacuations.onListing(List.of(), 60);
            evacuations.onChanges(List.of(removed("a", 61)), 61);
            assertThat(zones.contains("a")).isFalse();
        }
    }
}
