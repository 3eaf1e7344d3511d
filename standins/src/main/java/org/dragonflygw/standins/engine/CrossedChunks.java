package org.dragonflygw.standins.engine;

/** Source of crossed chunks: chunks of one request that are sent on the stream of another request. */
interface CrossedChunks {
    /** Appends a chunk of any stream other than {@code own}. */
    void append(StringBuilder out, EngineStream own, int index);
}
