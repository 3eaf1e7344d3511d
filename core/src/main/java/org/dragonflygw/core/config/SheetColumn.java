package org.dragonflygw.core.config;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Columns of a sheet, in the order in which {@link SheetWriter} writes them. */
public enum SheetColumn {
    KIND(RowKind.TEAM, RowKind.SERVICE, RowKind.RULE, RowKind.PLACEMENT),
    NAME(RowKind.TEAM, RowKind.SERVICE),
    KEY_SHA256(RowKind.TEAM),
    WEIGHT(RowKind.TEAM),
    REQUESTS_PER_SECOND(RowKind.TEAM),
    BURST(RowKind.TEAM),
    SERVICE_KIND(RowKind.SERVICE),
    POOL(RowKind.SERVICE, RowKind.PLACEMENT),
    MODEL(RowKind.SERVICE, RowKind.RULE, RowKind.PLACEMENT),
    LOAD_BOUND(RowKind.SERVICE),
    MAX_IN_FLIGHT(RowKind.SERVICE),
    MAX_QUEUE(RowKind.SERVICE),
    DEADLINE_MILLIS(RowKind.SERVICE),
    TOKEN_GAP_MILLIS(RowKind.SERVICE),
    RETRY_BUDGET_PERCENT(RowKind.SERVICE),
    CHECKS_FENCING(RowKind.SERVICE),
    TEAM(RowKind.RULE),
    SERVICE(RowKind.RULE),
    PRIORITY(RowKind.RULE),
    VERSION(RowKind.PLACEMENT),
    ADAPTER(RowKind.PLACEMENT),
    ENGINES(RowKind.PLACEMENT);

    @SuppressWarnings("ImmutableEnumChecker")
    private final Set<RowKind> kinds;

    SheetColumn(RowKind first, RowKind... others) {
        kinds = Collections.unmodifiableSet(EnumSet.of(first, others));
    }

    /** Name of this column in the header row. */
    public String header() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Whether rows of the given kind may have a value in this column. */
    public boolean appliesTo(RowKind kind) {
        return kinds.contains(kind);
    }

    /** Finds a column by its {@link #header}; empty if the name is unknown. */
    public static Optional<SheetColumn> of(String header) {
        for (SheetColumn column : values()) {
            if (column.header().equals(header)) {
                return Optional.of(column);
            }
        }
        return Optional.empty();
    }
}
