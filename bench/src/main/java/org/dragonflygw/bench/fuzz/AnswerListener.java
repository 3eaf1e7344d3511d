package org.dragonflygw.bench.fuzz;

/** Receives the events of one connection to an endpoint. */
interface AnswerListener {
    /** The connection could not be opened, so the request was not sent. */
    void onRefused();

    /** Receives bytes of an event stream, or the whole answer of a plain service. */
    void onBytes(byte[] bytes);

    /** The answer is complete. */
    void onEnd();

    /** The connection broke. */
    void onLost();
}
