package org.dragonflygw.core.log;

/** What a log line is about. Lines of one topic always carry the same fields; operators filter by it. */
public enum LogTopic {
    /** The process started, with its settings. */
    START,
    /** The process stops, with the reason. */
    STOP,
    /** Settings were read again. */
    RELOAD,
    /** A dependency (store, peer, endpoint) was lost. */
    DEPENDENCY_LOST,
    /** A dependency was regained. */
    DEPENDENCY_REGAINED,
    /** A configuration came into force or was rejected. */
    CONFIGURATION,
    /** What this host knows of an endpoint changed. */
    ENDPOINT,
    /** Readiness towards the balancer changed. */
    READINESS,
    /** A request was sent to an endpoint, with the figures that decided the choice. */
    DISPATCH,
    /** A request was refused before it was sent, with the reason. */
    REFUSE,
    /** An attempt at an endpoint failed. */
    ATTEMPT_FAILED,
    /** A request ended, with its outcome. */
    END,
    /** What this host knows of its peers changed. */
    PEER,
    /** A connection of a caller ended by an error of this process. */
    CALLER_CONNECTION,
    /** Lines were dropped because the writer could not keep up. */
    LOG_DROPPED
}
