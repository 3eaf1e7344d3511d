package org.dragonflygw.standins.engine;

/**
 * One change of the prefix cache.
 *
 * @param sequence sequence number of the event, from 1
 * @param action {@link #STORED} or {@link #EVICTED}
 * @param prefix fingerprint of the prefix
 */
public record CacheEvent(long sequence, String action, String prefix) {
    /** Action of a prefix that was stored. */
    public static final String STORED = "stored";

    /** Action of a prefix that was evicted. */
    public static final String EVICTED = "evicted";
}
