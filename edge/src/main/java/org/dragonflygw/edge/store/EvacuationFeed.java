package org.dragonflygw.edge.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.evacuation.EvacuationChange;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.storage.VersionedRow;
import org.dragonflygw.platform.adapter.EvacuationDecoder;

/** Applies the rows of the operator's table that evacuate availability zones. Used by one thread. */
public final class EvacuationFeed implements TableListener {
    /** Maximum number of unusable rows that are remembered so that each is logged once. */
    private static final int MAX_LOGGED = 64;

    private final Evacuations evacuations;
    private final EventLog log;
    private final Set<String> logged = new HashSet<>();

    public EvacuationFeed(Evacuations evacuations, EventLog log) {
        this.evacuations = evacuations;
        this.log = log;
    }

    @Override
    public void onNewEra() {
        evacuations.onNewEra();
    }

    @Override
    public void onListing(List<VersionedRow> rows, long version, long sentNanos) {
        List<String> zones = new ArrayList<>();
        for (VersionedRow r : rows) {
            if (!r.deleted()) {
                zone(r).ifPresent(zones::add);
            }
        }
        evacuations.onListing(zones, version);
    }

    @Override
    public void onChanges(List<VersionedRow> rows, long sentNanos) {
        long newest = evacuations.version();
        List<EvacuationChange> changes = new ArrayList<>();
        for (VersionedRow r : rows) {
            newest = Math.max(newest, r.version());
            zone(r).ifPresent(z -> changes.add(new EvacuationChange(z, r.version(), !r.deleted())));
        }
        evacuations.onChanges(changes, newest);
    }

    @Override
    public void onReadFailure() {
        // The last known state holds. TableFollower logs the failure.
    }

    private Optional<String> zone(VersionedRow row) {
        Optional<String> zone = EvacuationDecoder.zone(row.key());
        boolean unusable = zone.isEmpty() && EvacuationDecoder.isEvacuation(row.key());
        if (unusable && logged.size() < MAX_LOGGED && logged.add(row.key())) {
            log.line(LogTopic.EVACUATION)
                    .with("key", row.key())
                    .with("outcome", "unusable zone name, ignored")
                    .with("storeVersion", row.version())
                    .end();
        }
        return zone;
    }
}
