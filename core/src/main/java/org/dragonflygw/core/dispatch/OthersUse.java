package org.dragonflygw.core.dispatch;

/**
 * What all other hosts together have at one endpoint, as far as is known.
 *
 * @param inFlight requests under way
 * @param unreadTokens prompt tokens that the endpoint has still to read for them
 * @param failures mean failure score over the hosts that were heard of lately
 */
public record OthersUse(int inFlight, long unreadTokens, double failures) {
    /** Of an endpoint that no other host uses. */
    public static final OthersUse NONE = new OthersUse(0, 0, 0);
}
