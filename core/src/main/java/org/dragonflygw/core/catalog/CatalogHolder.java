package org.dragonflygw.core.catalog;

import java.util.Optional;

/** The catalog in force in this process. Versions never go back. Used by one thread. */
public final class CatalogHolder {
    private Optional<Catalog> current = Optional.empty();

    /** The catalog in force, empty until the first is read. */
    public Optional<Catalog> current() {
        return current;
    }

    /** Version in force, 0 before the first. */
    public long version() {
        return current.map(Catalog::version).orElse(0L);
    }

    /** Takes a catalog if it is newer than the one in force; returns whether it came into force. */
    public boolean offer(Catalog next) {
        if (current.isPresent() && next.version() <= version()) {
            return false;
        }
        current = Optional.of(next);
        return true;
    }
}
