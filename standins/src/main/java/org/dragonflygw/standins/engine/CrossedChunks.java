package org.dragonflygw.standins.engine;

/** Gives chunks that belong to another request than the one of the stream they are sent on. */
interface CrossedChunks {
    /** Appends a chunk of any stream but the given one. */
    void append(StringBuilder out, EngineStream own, int index);
}
