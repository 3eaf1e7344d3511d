package org.dragonflygw.bench.fuzz;

/** Receives what comes over one connection to an endpoint. */
interface AnswerListener {
    /** No connection could be opened, so nothing was sent. */
    void onRefused();

    /** Bytes of a stream of events, or the whole answer of a plain service. */
    void onBytes(byte[] bytes);

    /** The answer is over. */
    void onEnd();

    /** The connection broke. */
    void onLost();
}
