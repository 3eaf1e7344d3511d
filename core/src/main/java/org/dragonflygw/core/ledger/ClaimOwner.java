package org.dragonflygw.core.ledger;

/**
 * The daemon process that holds a claim.
 *
 * @param daemonId id of the daemon
 * @param incarnation distinguishes successive processes of the same daemon
 */
public record ClaimOwner(String daemonId, long incarnation) {}
