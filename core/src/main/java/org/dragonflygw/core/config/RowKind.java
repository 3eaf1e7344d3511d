package org.dragonflygw.core.config;

import java.util.Locale;
import java.util.Optional;

/** Kinds of rows of a sheet. */
public enum RowKind {
    TEAM,
    SERVICE,
    RULE,
    PLACEMENT;

    /** Name in the {@code kind} column. */
    public String columnValue() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds the kind with the given name in the {@code kind} column. */
    public static Optional<RowKind> of(String columnValue) {
        for (RowKind kind : values()) {
            if (kind.columnValue().equals(columnValue)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
