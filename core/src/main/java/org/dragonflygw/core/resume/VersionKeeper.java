package org.dragonflygw.core.resume;

import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * Keeps the software versions of each service in the store, for processes that start. They are read once; the hosts that
 * read the store for the others write them when versions come or have gone. Not thread-safe.
 */
public final class VersionKeeper {
    /** Interval at which this host checks whether a row has to be written, and delay after a failed read. */
    private static final long INTERVAL_NANOS = 1_000_000_000L;

    private final SoftwareVersions versions;
    private final BooleanSupplier writer;
    private final VersionStore store;
    private final MonotonicClock clock;
    private boolean reading;
    private boolean read;
    private boolean checked;
    private long checkedNanos;

    /**
     * Creates a keeper; nothing is read before the first {@link #check}.
     *
     * @param writer whether this host writes for the others
     */
    public VersionKeeper(SoftwareVersions versions, BooleanSupplier writer, VersionStore store, MonotonicClock clock) {
        this.versions = versions;
        this.writer = writer;
        this.store = store;
        this.clock = clock;
    }

    /** Reads or writes what is due. Must be called several times a second. */
    public void check() {
        long now = clock.nanos();
        if (reading || (checked && now - checkedNanos < INTERVAL_NANOS)) {
            return;
        }
        checked = true;
        checkedNanos = now;
        if (!read) {
            reading = true;
            store.read(this::onRead);
        } else if (writer.getAsBoolean()) {
            versions.toStore().forEach(this::write);
        }
    }

    private void onRead(Optional<StoredVersions> stored) {
        reading = false;
        if (stored.isEmpty()) {
            return;
        }
        read = true;
        checked = false;
        stored.get().rows().forEach(versions::onStored);
        versions.onStoreRead();
    }

    private void write(String service, Set<String> current) {
        store.write(service, current, written -> {
            if (written) {
                versions.onStored(service, current);
            }
        });
    }

    /** Records that the store came back from a copy, which may lack what was written. */
    public void onNewEra() {
        versions.onStoreLost();
    }
}
