package org.dragonflygw.core.storenews;

/** A table of the store that this host follows, as far as news from other hosts concern it. */
public interface FollowedTable {
    /** Whether the table was read in whole at least once. */
    boolean listed();

    /** Version up to which it is known. */
    long version();

    /** Notes that it is known up to a version as of a moment of the monotonic clock. */
    void markFresh(long version, long asOfNanos);

    /** Asks for a read at once. */
    void readNow();
}
