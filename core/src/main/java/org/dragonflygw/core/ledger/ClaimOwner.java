package org.dragonflygw.core.ledger;

/**
 * The daemon process that holds a claim.
 *
 * @param daemonId name of the daemon
 * @param incarnation tells processes with the same name apart
 */
public record ClaimOwner(String daemonId, long incarnation) {}
