package org.dragonflygw.core.catalog;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes largest request head (request line and headers), in bytes
 * @param maxBodyBytes largest request body, in bytes
 * @param headerTimeoutMs longest time for sending a request head, in milliseconds
 * @param idleTimeoutMs longest time that a connection may be idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Limits that apply until the first configuration is read. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
