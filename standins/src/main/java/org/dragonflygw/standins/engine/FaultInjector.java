package org.dragonflygw.standins.engine;

import java.util.concurrent.atomic.AtomicLong;

/** The faults in force and the counters that decide whom they hit. Safe from every thread. */
final class FaultInjector {
    /** Value of {@link #silenceAfter} when the request is not to go silent. */
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

    /** Counts a new request; returns the tokens after which its connection goes silent. */
    int silenceAfter() {
        EngineFaults now = faults;
        return hits(requests, now.silenceEvery()) ? now.silenceAfterTokens() : NEVER;
    }

    /** Counts a chunk and decides what happens to it. */
    ChunkFault nextChunk() {
        EngineFaults now = faults;
        if (now.crossEvery() == 0 && now.duplicateEvery() == 0) {
            return ChunkFault.NONE;
        }
        long number = chunks.incrementAndGet();
        if (now.crossEvery() > 0 && number % now.crossEvery() == 0) {
            return ChunkFault.CROSSED;
        }
        boolean twice = now.duplicateEvery() > 0 && number % now.duplicateEvery() == 0;
        return twice ? ChunkFault.DUPLICATED : ChunkFault.NONE;
    }

    private static boolean hits(AtomicLong counter, int every) {
        return every > 0 && counter.incrementAndGet() % every == 0;
    }

    /** What happens to one chunk. */
    enum ChunkFault {
        /** It is sent as it should be. */
        NONE,
        /** A chunk of another request is sent in its place. */
        CROSSED,
        /** It is sent twice. */
        DUPLICATED
    }
}
