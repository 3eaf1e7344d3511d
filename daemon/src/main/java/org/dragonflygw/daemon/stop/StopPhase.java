package org.dragonflygw.daemon.stop;

/** Phases of a planned stop, in order. A stop ends in {@link #FINISHED} or {@link #TIMED_OUT}. */
public enum StopPhase {
    /** No stop was requested. */
    RUNNING,
    /** Reports not ready, but still accepts requests until the load balancer has noticed. */
    WAITING_FOR_BALANCER,
    /** Handing duties over to other daemons. */
    HANDING_OVER,
    /** Waiting for the open requests to end. */
    FINISHING_REQUESTS,
    /** No request is open. */
    FINISHED,
    /** The time limit passed while requests were still open. */
    TIMED_OUT
}
