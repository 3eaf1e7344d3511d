package org.dragonflygw.core.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Holds the current catalog of this process. The version never decreases. Not thread-safe. */
public final class CatalogHolder {
    private Optional<Catalog> current = Optional.empty();
    private final List<Consumer<Catalog>> listeners = new ArrayList<>();

    /** Adds what is called with each catalog as it comes into force. */
    public void onChange(Consumer<Catalog> listener) {
        listeners.add(listener);
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
        listeners.forEach(l -> l.accept(next));
        return true;
    }
}
