package org.dragonflygw.daemon.stop;

/**
 * Progress of a planned stop.
 *
 * @param phase current phase
 * @param detail current step or wait, for operators
 * @param openRequests number of requests open now
 * @param elapsedMillis time since the stop was requested, in milliseconds; 0 while running
 */
public record StopProgress(StopPhase phase, String detail, int openRequests, long elapsedMillis) {}
