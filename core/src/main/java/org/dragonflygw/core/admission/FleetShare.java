package org.dragonflygw.core.admission;

import java.util.OptionalInt;
import java.util.function.Supplier;

/** The part of the fleet's room that one host may use, and how old its view of the room is. */
public final class FleetShare {
    /** Reports that a host sends and receives per second; each peer gets one in turn. */
    private static final double REPORTS_PER_SECOND = 40;

    /** Shortest and longest time that a report is assumed to need, in nanoseconds. */
    private static final long MIN_REPORT_AGE_NANOS = 200_000_000L;

    private static final long MAX_REPORT_AGE_NANOS = 10_000_000_000L;

    /** Number of hosts assumed for the age of reports while the list of hosts was not read. */
    private static final int ASSUMED_HOSTS = 64;

    private static final double NANOS_PER_S = 1e9;

    private final Supplier<OptionalInt> hosts;

    /**
     * Creates a share.
     *
     * @param hosts number of hosts in the fleet, empty while it is unknown
     */
    public FleetShare(Supplier<OptionalInt> hosts) {
        this.hosts = hosts;
    }

    /**
     * Returns the share of this host: the mean of an equal share and its part of the requests under way. The shares of
     * all hosts add up to one.
     */
    double of(Room room) {
        OptionalInt count = hosts.get();
        double equal = count.isPresent() ? 1.0 / Math.max(1, count.getAsInt()) : 0;
        if (room.load() < 1) {
            return equal;
        }
        return (equal + Math.min(1, room.own() / room.load())) / 2;
    }

    /** Returns the time until the report of a change has reached all hosts, in nanoseconds. */
    long reportAgeNanos() {
        double seconds = hosts.get().orElse(ASSUMED_HOSTS) / REPORTS_PER_SECOND;
        return Math.max(MIN_REPORT_AGE_NANOS, Math.min(MAX_REPORT_AGE_NANOS, (long) (seconds * NANOS_PER_S)));
    }
}
