package org.dragonflygw.bench.load;

import java.time.Duration;

/**
 * Measurements at one target.
 *
 * @param name name of the target
 * @param metrics latencies and counts of the requests
 * @param wall wall-clock time of all blocks, including draining
 * @param cpu CPU time of the target's process in all blocks; zero if the target has no process id
 */
record LoadResult(String name, LoadMetrics metrics, Duration wall, Duration cpu) {
    private static final double NANOS_PER_SECOND = 1e9;

    double tokensPerSecond() {
        return metrics.tokenCount() / (wall.toNanos() / NANOS_PER_SECOND);
    }

    /** Tokens relayed per second of CPU time; 0 if the target has no process id. */
    double tokensPerCpuSecond() {
        return cpu.isZero() ? 0 : metrics.tokenCount() / (cpu.toNanos() / NANOS_PER_SECOND);
    }
}
