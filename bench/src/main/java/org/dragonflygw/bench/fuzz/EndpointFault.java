package org.dragonflygw.bench.fuzz;

/** How an endpoint, or the way to it, fails. */
public enum EndpointFault {
    /** Not at all. */
    NONE,
    /** No connection can be opened. */
    REFUSES,
    /** The request is lost on its way; the connection breaks. */
    REQUEST_LOST,
    /** The connection breaks at once, and the request arrives and runs much later. */
    LATE_RUN,
    /** The request runs and the connection breaks before the answer. */
    ANSWER_LOST,
    /** The answer comes late. */
    SLOW,
    /** The connection goes silent in the middle of the answer; a new one works. */
    SILENT,
    /** The connection breaks in the middle of the answer. */
    CUT,
    /** A chunk of another answer is sent in the middle. */
    CROSSED,
    /** A chunk is sent twice. */
    DUPLICATE,
    /** A chunk is left out. */
    GAP
}
