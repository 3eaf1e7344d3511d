package org.dragonflygw.bench.fuzz;

/** Fault of an endpoint or of the network path to the endpoint. */
public enum EndpointFault {
    /** No fault. */
    NONE,
    /** Connections are refused. */
    REFUSES,
    /** The request is lost in transit and the connection breaks. */
    REQUEST_LOST,
    /** The connection breaks at once; the request still arrives and runs much later. */
    LATE_RUN,
    /** The request runs and the connection breaks before the answer. */
    ANSWER_LOST,
    /** The answer is delayed. */
    SLOW,
    /** The connection goes silent in the middle of the answer; a new connection works. */
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
