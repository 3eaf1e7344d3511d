package org.dragonflygw.standins.engine;

import java.util.concurrent.atomic.AtomicLong;

/** Holds the current faults and counts requests and chunks to decide which ones are affected. Thread-safe. */
final class FaultInjector {
    /** Result of {@link #silenceAfter} for a request whose connection does not go silent. */
    static final int NEVER = Integer.MAX_VALUE;

    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong chunks = new AtomicLong();
    private volatile EngineFaults faults = EngineFaults.NONE;

    EngineFaults current() {
        return faults;
    }

    void set(EngineFaults newFaults) {
        requests.set(0);
        chunks.set(0);
        faults = newFaults;
    }

    /** Counts a new request and returns the number of tokens after which its connection goes silent. */
    int silenceAfter() {
        EngineFaults now = faults;
        return hits(requests, now.silenceEvery()) ? now.silenceAfterTokens() : NEVER;
    }

    /** Counts a chunk and returns the fault to inject into it. */
    ChunkFault nextChunk() {
        EngineFaults now = faults;
        if (now.crossEvery() == 0 && now.duplicateEvery() == 0) {
            return ChunkFault.NONE;
        }
        long number = chunks.incrementAndGet();
        if (now.crossEvery() > 0 && number % now.crossEvery() == 0) {
            return ChunkFault.CROSSED;
        }
        boolean duplicated = now.duplicateEvery() > 0 && number % now.duplicateEvery() == 0;
        return duplicated ? ChunkFault.DUPLICATED : ChunkFault.NONE;
    }

    private static boolean hits(AtomicLong counter, int every) {
        return every > 0 && counter.incrementAndGet() % every == 0;
    }

    /** Fault injected into one chunk. */
    enum ChunkFault {
        /** The chunk is sent normally. */
        NONE,
        /** A chunk of another request is sent instead. */
        CROSSED,
        /** The chunk is sent twice. */
        DUPLICATED
    }
}
