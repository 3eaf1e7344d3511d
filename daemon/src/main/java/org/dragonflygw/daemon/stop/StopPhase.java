package org.dragonflygw.daemon.stop;

/** How far a planned stop is. */
public enum StopPhase {
    /** No stop was asked for. */
    RUNNING,
    /** Not ready any more, and still accepting until the balancer has noticed. */
    WAITING_FOR_BALANCER,
    /** Handing duties over to other daemons. */
    HANDING_OVER,
    /** Waiting for the open requests to end. */
    FINISHING_REQUESTS,
    /** Nothing is open any more. */
    FINISHED,
    /** The time limit passed with requests still open. */
    TIMED_OUT
}
