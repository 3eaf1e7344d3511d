package org.dragonflygw.core.catalog;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes size of a request's head
 * @param maxBodyBytes size of a request's body
 * @param headerTimeoutMs time to send a head, in milliseconds
 * @param idleTimeoutMs time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Bounds before any configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
