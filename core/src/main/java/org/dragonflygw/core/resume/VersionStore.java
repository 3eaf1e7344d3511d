package org.dragonflygw.core.resume;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** The rows of the store that hold the software versions of each service. */
public interface VersionStore {
    /**
     * Reads all rows.
     *
     * @param listener receives the rows, or nothing if the store did not answer
     */
    void read(Consumer<Optional<StoredVersions>> listener);

    /**
     * Writes a row.
     *
     * @param listener receives whether the store acknowledged the write; if not, it may still be made later
     */
    void write(String key, Set<String> versions, Consumer<Boolean> listener);
}
