package org.dragonflygw.bench.load;

import java.time.Duration;

/**
 * Measurements at one target.
 *
 * @param name name of the target
 * @param metrics what was seen
 * @param wall time of all blocks, draining included
 * @param cpu processor time of the target's process in all blocks; zero when none was named
 */
record LoadResult(String name, LoadMetrics metrics, Duration wall, Duration cpu) {
    private static final double NANOS_PER_SECOND = 1e9;

    double tokensPerSecond() {
        return metrics.tokenCount() / (wall.toNanos() / NANOS_PER_SECOND);
    }

    /** Tokens relayed in one second of processor time; 0 when no process was named. */
    double tokensPerCpuSecond() {
        return cpu.isZero() ? 0 : metrics.tokenCount() / (cpu.toNanos() / NANOS_PER_SECOND);
    }
}
