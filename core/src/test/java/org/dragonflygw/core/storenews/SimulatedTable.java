package org.dragonflygw.core.storenews;

import org.dragonflygw.core.log.NoOpEventLog;

/** A host's copy of the list of endpoints in simulations of hosts that have no configuration. */
abstract class SimulatedTable implements FollowedTable, CatalogUpdateTarget {
    final StoreEra era = new StoreEra(new NoOpEventLog(), () -> {});
    final TableProgress progress = new TableProgress(era);

    @Override
    public final boolean listed() {
        return progress.listed();
    }

    @Override
    public final long version() {
        return progress.version();
    }

    @Override
    public final void markFresh(long upTo, long asOfNanos) {
        progress.advance(upTo, asOfNanos);
    }

    @Override
    public final long rowVersion() {
        return 0;
    }

    @Override
    public final boolean onVersionInForce(long configVersion) {
        return true; // Hosts without a configuration have no version of it.
    }

    @Override
    public final void apply(CatalogUpdate update) {
        throw new AssertionError("hosts without a configuration send no updates of it");
    }
}
