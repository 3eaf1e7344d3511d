package org.dragonflygw.core.resume;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that go on at another version than the one that began them, after the loss of all hosts that knew
 * it. In each case a host begins streams at a version, if it does, and then hosts are lost.
 */
final class VersionKeeperTest {
    private static final int CALM_MS = 70_000;
    private static final int START_MS = 2_000;

    private final VersionFleet fleet = new VersionFleet(3);

    /** A service whose only version is in the store. */
    private VersionFleet calm() {
        return fleet.enter("e", "v1").run(CALM_MS);
    }

    /** All hosts are lost, and the second version is gone when they are back. */
    private void loseAllHostsAndSecondVersion() {
        fleet.leave("f").restartAll().run(START_MS);
    }

    /** No host lets a stream go on at the first version if any host began one at the second. */
    private void assertNotJoined(boolean begun) {
        for (int i = 0; i < fleet.hosts.size(); i++) {
            if (begun) {
                assertThat(fleet.resumedAt(i)).isEmpty();
            }
        }
    }

    @Nested
    final class Writing {
        @Test
        void aVersionThatBeginsStreamsAndLosesAllHostsAtOnce() {
            calm().enter("f", "v2").run(100);
            boolean begun = fleet.host(0).begins("v2") || fleet.host(1).begins("v2");
            loseAllHostsAndSecondVersion();
            assertNotJoined(begun);
        }

        @Test
        void theWriterIsCutOff() {
            calm();
            fleet.host(0).cutOff = true;
            fleet.enter("f", "v2").run(8_000);
            boolean begun = fleet.host(1).begins("v2");
            assertThat(begun).isTrue();
            loseAllHostsAndSecondVersion();
            assertNotJoined(begun);
        }

        @Test
        void theWriterReadsButItsWritesAreLost() {
            calm();
            fleet.host(0).writesLost = true;
            fleet.enter("f", "v2").run(8_000);
            boolean begun = fleet.host(1).begins("v2");
            assertThat(begun).isTrue();
            loseAllHostsAndSecondVersion();
            assertNotJoined(begun);
        }

        /** A write without an answer is made seconds later, over a row that names a newer version. */
        @Test
        void aLateWriteDoesNotUndoANewerOne() {
            calm().enter("g", "v0").run(START_MS).leave("g");
            fleet.run(60_000);
            fleet.store.lateMs = 3_000;
            fleet.run(START_MS).enter("f", "v2").run(6_000);
            boolean begun = fleet.host(1).begins("v2");
            assertThat(begun).isTrue();
            loseAllHostsAndSecondVersion();
            assertNotJoined(begun);
        }

        @Test
        void twoWritersWithDifferentLists() {
            fleet.host(1).writer = true;
            calm();
            fleet.host(1).cutOff = true;
            fleet.enter("f", "v2").run(3_000);
            fleet.enter("h", "v3").run(500);
            fleet.host(1).cutOff = false;
            fleet.run(3_000);
            assertThat(fleet.host(0).begins("v2")).isTrue();
            fleet.leave("h");
            loseAllHostsAndSecondVersion();
            assertNotJoined(true);
        }

        /** Guards against two calls on a connection that carries one at a time, which lost the answer of the first. */
        @Test
        void callsAreMadeOneAfterAnother() {
            calm();
            fleet.host(0)
                    .versions
                    .onUpdated(new DiscoveredEndpoint("x", "t", "10.0.0.1", 80, "a", 4, false, 0, 1, "v1"));
            fleet.enter("f", "v2").run(3_000);
            assertThat(fleet.store.writes).isAtLeast(3);
        }

        /** Guards against hosts that keep to the few old endpoints for long during a release. */
        @Test
        void allHostsKnowWithinASecondThatANewVersionIsNamed() {
            VersionFleet many = new VersionFleet(12);
            many.enter("e", "v1").run(10_000);
            int readsBefore = many.store.reads;
            many.enter("f", "v2").run(1_000);
            many.hosts.forEach(h -> assertThat(h.versions.unnamedEndpoints(VersionFleet.SERVICE))
                    .isEmpty());
            assertThat(many.store.reads - readsBefore).isAtMost(11);
        }

        private Set<String> namedByStore() {
            Set<String> named = new TreeSet<>();
            fleet.store.rows.forEach((key, versions) -> {
                if (VersionRowKey.parse(key).service().equals(VersionFleet.SERVICE)) {
                    named.addAll(versions);
                }
            });
            return named;
        }

        @Test
        void namesAVersionWhenItComesUntilAMinuteAfterItHasGone() {
            calm();
            assertThat(namedByStore()).containsExactly("v1");
            fleet.enter("f", "v2").run(400);
            assertThat(namedByStore()).containsExactly("v1", "v2");
            fleet.leave("e").run(59_000);
            assertThat(namedByStore()).containsExactly("v1", "v2");
            fleet.run(3_000);
            assertThat(namedByStore()).containsExactly("v2");
        }

        @Test
        void namesTheVersionsAgainAfterTheStoreCameBackFromACopy() {
            calm().enter("f", "v2").run(5_000);
            fleet.store.restore(Map.of());
            fleet.hosts.forEach(h -> h.keeper.onNewEra());
            fleet.run(3_000);
            assertThat(namedByStore()).containsExactly("v1", "v2");
        }

        @Test
        void aVersionThatReturnsIsNamedAgain() {
            calm().enter("f", "v2").run(5_000).leave("f").run(70_000);
            fleet.enter("f", "v2").run(100);
            assertThat(fleet.host(1).begins("v2")).isFalse();
            fleet.run(2_500);
            assertThat(fleet.host(1).begins("v2")).isTrue();
            loseAllHostsAndSecondVersion();
            assertNotJoined(true);
        }

        /** Guards against hosts that all write or read when one version comes. */
        @Test
        void aNewVersionCostsOneWriteAndAReadOfEachOtherHost() {
            calm();
            int reads = fleet.store.reads;
            int writes = fleet.store.writes;
            fleet.enter("f", "v2").run(10_000);
            assertThat(fleet.store.writes - writes).isEqualTo(1);
            assertThat(fleet.store.reads - reads).isAtMost(2);
        }

        @Test
        void nothingIsCalledInTheCalmState() {
            calm();
            int reads = fleet.store.reads;
            int writes = fleet.store.writes;
            fleet.run(10 * CALM_MS);
            assertThat(fleet.store.reads).isEqualTo(reads);
            assertThat(fleet.store.writes).isEqualTo(writes);
        }
    }

    @Nested
    final class Starting {
        @Test
        void goesOnWithTheOnlyVersion() {
            calm().restartAll().run(START_MS);
            for (int i = 0; i < fleet.hosts.size(); i++) {
                assertThat(fleet.resumedAt(i)).hasValue("v1");
            }
        }

        @Test
        void afterTheSecondVersionLeftGoesOnLater() {
            calm().enter("f", "v2").run(5_000);
            loseAllHostsAndSecondVersion();
            assertNotJoined(true);
            fleet.run(130_000).restartAll().run(START_MS);
            assertThat(fleet.resumedAt(1)).hasValue("v1");
        }

        /** The entry of the old version is removed without draining while its endpoint goes on serving. */
        @Test
        void afterTheEntryOfTheOldVersionWasRemoved() {
            calm().enter("f", "v2").run(5_000).leave("e").run(500);
            fleet.restartAll().run(START_MS);
            assertNotJoined(true);
        }

        @Test
        void whileTheStoreIsSlow() {
            calm().enter("f", "v2").run(5_000);
            fleet.store.delayMs = 900;
            loseAllHostsAndSecondVersion();
            assertNotJoined(true);
        }

        /** Entries expire while the store is unavailable, so the first list after it may lack live endpoints. */
        @Test
        void afterEntriesWereLostInAnOutage() {
            calm();
            fleet.store.silent = true;
            fleet.run(8_000);
            fleet.store.silent = false;
            fleet.enter("f", "v2").run(5_000);
            loseAllHostsAndSecondVersion();
            assertNotJoined(true);
        }

        /** A stream that began at another service is not taken up at the one that its route goes to now. */
        @Test
        void afterARouteMovedToAnotherService() {
            calm().moveRoutes("r2").run(1_000);
            assertNotJoined(true);
            fleet.restartAll().run(START_MS);
            assertNotJoined(true);
            fleet.run(70_000).restartAll().run(START_MS);
            assertThat(fleet.resumedAt(1)).hasValue("v1");
        }

        /** A configuration names a service for the first time, and nobody knows what streams of the route went to before. */
        @Test
        void whenTheConfigurationNamesTheServiceForTheFirstTime() {
            fleet.run(CALM_MS).moveRoutes("r2").enter("e", "v1").run(1_000);
            assertNotJoined(true);
            fleet.restartAll().run(START_MS);
            assertNotJoined(true);
        }

        /** While the store is away, the second version serves though no row names it, as nothing else does. */
        @Test
        void whileTheStoreIsAway() {
            calm().enter("f", "v2").run(50);
            fleet.store.silent = true;
            fleet.run(8_000);
            boolean begun = fleet.host(0).begins("v2");
            assertThat(begun).isTrue();
            fleet.leave("f").restartAll().run(500);
            fleet.store.silent = false;
            fleet.run(START_MS);
            assertNotJoined(begun);
        }

        /** Nobody can know the past of a service of which the store has no row. */
        @Test
        void withoutARowOfTheService() {
            fleet.store.silent = true;
            fleet.enter("e", "v1").run(100);
            fleet.store.silent = false;
            fleet.host(0).writesLost = true;
            fleet.enter("e", "v1").enter("f", "v2").run(1_500);
            fleet.store.rows.clear();
            loseAllHostsAndSecondVersion();
            assertNotJoined(true);
        }

        @Test
        void withRowsOfACopyThatLackAVersion() {
            calm();
            Map<String, Set<String>> copy = fleet.store.copy();
            fleet.enter("f", "v2").run(5_000);
            fleet.store.restore(copy);
            loseAllHostsAndSecondVersion();
            assertNotJoined(true);
        }
    }

    @Nested
    final class LivingOn {
        /** A host that was cut off while a version came and went is asked by hosts that all restarted. */
        @Test
        void aHostThatWasCutOffIsNotSure() {
            calm();
            fleet.host(2).cutOff = true;
            fleet.run(1_000).enter("f", "v2").run(5_000).leave("f").run(5_000);
            fleet.host(2).cutOff = false;
            fleet.restart(0, 2).run(START_MS);
            assertNotJoined(true);
        }

        /** A version came and went between two reads of the list by one host. */
        @Test
        void aHostThatMissedAVersionBetweenTwoReads() {
            calm();
            fleet.host(2).cutOff = true;
            fleet.enter("f", "v2").run(2_000).leave("f").run(2_000);
            fleet.host(2).cutOff = false;
            fleet.restart(0, 2).run(START_MS);
            assertNotJoined(true);
        }
    }
}
