package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.dragonflygw.core.evacuation.EvacuatedZones;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.storage.VersionedRow;
import org.junit.jupiter.api.Test;

final class EvacuationFeedTest {
    private static final byte[] NO_BYTES = {};

    private final EvacuatedZones zones = new EvacuatedZones();
    private final Evacuations evacuations = new Evacuations(zones, zone -> 0, new NoOpEventLog(), System::nanoTime);
    private final EvacuationFeed feed = new EvacuationFeed(evacuations, new NoOpEventLog());

    private static VersionedRow row(String key, long version, boolean deleted) {
        return new VersionedRow(key, NO_BYTES, version, deleted);
    }

    @Test
    void firstListingMayBringAnEvacuation() {
        feed.onListing(List.of(row("config", 3, false), row("evacuate/zone-a", 4, false)), 9, 0);
        assertThat(evacuations.news()).isEqualTo(new EvacuationNews(9, List.of("zone-a")));
    }

    @Test
    void rowMarkedAsDeletedEndsIt() {
        feed.onListing(List.of(row("evacuate/zone-a", 4, false)), 9, 0);
        feed.onChanges(List.of(row("evacuate/zone-a", 10, true)), 0);
        assertThat(zones.count()).isEqualTo(0);
    }

    @Test
    void changedConfigurationAdvancesTheVersion() {
        feed.onListing(List.of(), 9, 0);
        feed.onChanges(List.of(row("config", 12, false)), 0);
        assertThat(evacuations.version()).isEqualTo(12);
    }

    @Test
    void readWithoutChangesKeepsTheState() {
        feed.onListing(List.of(row("evacuate/zone-a", 4, false)), 9, 0);
        feed.onChanges(List.of(), 0);
        feed.onReadFailure();
        assertThat(evacuations.news()).isEqualTo(new EvacuationNews(9, List.of("zone-a")));
    }

    /** Guards against a row with an unusable name that hides the others. */
    @Test
    void unusableRowIsIgnored() {
        feed.onListing(List.of(row("evacuate/", 4, false), row("evacuate/zone-b", 5, false)), 9, 0);
        feed.onChanges(List.of(row("evacuate/ ", 10, false), row("evacuate/zone-c", 11, false)), 0);
        assertThat(evacuations.news()).isEqualTo(new EvacuationNews(11, List.of("zone-b", "zone-c")));
    }
}
