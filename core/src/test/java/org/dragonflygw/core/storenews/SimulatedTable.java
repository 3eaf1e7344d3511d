package org.dragonflygw.core.storenews;

/** A host's copy of the list of endpoints in simulations of hosts that have no configuration. */
abstract class SimulatedTable implements FollowedTable, CatalogUpdateTarget {
    final TableProgress progress = new TableProgress();

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
    public final void apply(CatalogUpdate update) {
        throw new AssertionError("hosts without a configuration send no updates of it");
    }
}
