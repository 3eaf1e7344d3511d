package org.dragonflygw.core.storenews;

/** A store table that this host keeps a copy of, by its own reads and by news from other hosts. */
public interface FollowedTable {
    /** Whether the table was read completely at least once. */
    boolean listed();

    /** Store version up to which this host's copy is complete. */
    long version();

    /**
     * Notes that this host's copy is complete up to a version.
     *
     * @param version store version
     * @param asOfNanos reading of the monotonic clock at which that version was the newest
     */
    void markFresh(long version, long asOfNanos);

    /** Starts a read of the table at once, unless one is running. */
    void readNow();
}
