package org.dragonflygw.daemon.stop;

/**
 * How far a planned stop is.
 *
 * @param phase phase of the stop
 * @param detail what is being done
 * @param openRequests requests open now
 * @param elapsedMillis time since the stop was asked for, in milliseconds; 0 while running
 */
public record StopProgress(StopPhase phase, String detail, int openRequests, long elapsedMillis) {}
