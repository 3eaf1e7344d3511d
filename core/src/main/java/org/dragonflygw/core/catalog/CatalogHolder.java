package org.dragonflygw.core.catalog;

import java.util.Optional;

/** Holds the current catalog of this process. The version never decreases. Not thread-safe. */
public final class CatalogHolder {
    private Optional<Catalog> current = Optional.empty();
    private Runnable onReplaced = () -> {};

    /** Sets what is run after each replacement of the catalog. */
    public void onReplaced(Runnable listener) {
        onReplaced = listener;
    }

    /** Returns the current catalog, or empty until the first one is read. */
    public Optional<Catalog> current() {
        return current;
    }

    /** Returns the version of the current catalog, or 0 if there is none. */
    public long version() {
        return current.map(Catalog::version).orElse(0L);
    }

    /** Replaces the current catalog if the given one is newer; returns whether it was replaced. */
    public boolean offer(Catalog next) {
        if (current.isPresent() && next.version() <= version()) {
            return false;
        }
        current = Optional.of(next);
        onReplaced.run();
        return true;
    }
}
