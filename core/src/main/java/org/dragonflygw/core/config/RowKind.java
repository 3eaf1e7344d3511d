package org.dragonflygw.core.config;

import java.util.Locale;
import java.util.Optional;

/** Kinds of rows in a sheet. */
public enum RowKind {
    TEAM,
    SERVICE,
    RULE,
    PLACEMENT;

    /** Name of this kind in the {@code kind} column. */
    public String columnValue() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds a kind by its {@link #columnValue}; empty if the name is unknown. */
    public static Optional<RowKind> of(String columnValue) {
        for (RowKind kind : values()) {
            if (kind.columnValue().equals(columnValue)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
