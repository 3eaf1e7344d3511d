package org.dragonflygw.core.log;

/** Topic of a log line, by which operators filter. All lines of a topic have the same fields. */
public enum LogTopic {
    /** The process started; the line has its settings. */
    START,
    /** The process is stopping; the line has the reason. */
    STOP,
    /** Settings were reloaded. */
    RELOAD,
    /** A dependency (store, peer or endpoint) became unavailable. */
    DEPENDENCY_LOST,
    /** A dependency became available again. */
    DEPENDENCY_REGAINED,
    /** The store came back from a copy, without its last changes; everything is read again. */
    STORE_ERA,
    /** A configuration was activated or rejected. */
    CONFIGURATION,
    /** The evacuation of an availability zone was seen, applied or ended. */
    EVACUATION,
    /** The state of an endpoint, as this host sees it, changed. */
    ENDPOINT,
    /** The readiness that is reported to the load balancer changed. */
    READINESS,
    /** A request waits because the process has just started and knows no configuration or no endpoints yet. */
    HOLD,
    /** A request waits for room at its service, or its wait ended; the line has the outcome. */
    WAIT,
    /** An endpoint names a limit for all hosts together; the line says whether the request may be sent there. */
    PERMIT,
    /** The software versions of a service in the store were read or written. */
    VERSIONS,
    /** A caller takes a stream up; the line says at which software version it began and what told it. */
    RESUME,
    /** A request was sent to an endpoint; the line has the figures behind the choice. */
    DISPATCH,
    /** The paths of this host to the endpoints of a service were lost or are back; the line has the probes. */
    PATHS,
    /** A request was passed to another host, or that host's answer came; the line has the outcome. */
    RELAY,
    /** A request was refused before it was sent; the line has the reason. */
    REFUSE,
    /** An endpoint has sent nothing for a while; the line says what becomes of the attempt there. */
    SILENCE,
    /** An attempt at an endpoint failed. */
    ATTEMPT_FAILED,
    /** An endpoint sent bytes that reach no caller; the line has the request that was sent last on the connection. */
    UNUSED_RESPONSE,
    /** The retry budget granted or denied one more attempt; the line has the figures that decided it. */
    RETRY,
    /** Endpoints were lost while they ran a request, or the request was cleared; the line has the lost endpoints. */
    CRASH_SUSPECT,
    /**
     * Endpoints ended while they began to answer prompts with some part, or the part was cleared; the line has the ended
     * endpoints.
     */
    CRASHING_PART,
    /** A request ended; the line has its outcome. */
    END,
    /** The state of a peer, as this host sees it, changed. */
    PEER,
    /** A connection was closed because the memory for heads was used up; the line has what it held. */
    HEADER_MEMORY,
    /** A caller's connection was closed because of an error in this process. */
    CALLER_CONNECTION,
    /** An unexpected error in a task of this process, which goes on; the line has the task. */
    INTERNAL_ERROR,
    /** Log lines were dropped because the writer could not keep up. */
    LOG_DROPPED
}
