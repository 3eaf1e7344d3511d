package org.dragonflygw.bench.load;

import java.time.Duration;
import java.util.List;

/**
 * What to measure.
 *
 * @param targets targets, measured in turn in each block
 * @param requestsPerSecond mean rate of arrivals; they are random and do not wait for answers
 * @param blocks how often each target is measured
 * @param blockTime time of arrivals of one block
 * @param warmUp time of arrivals at each target before the first block
 * @param drainTime longest time to wait for the last answers of a block
 * @param tokens tokens of each answer
 * @param promptBytes length of the prompt
 * @param sharedPrompts number of different prompts
 * @param model model that requests name
 * @param teamKey team key; empty for none
 * @param seed seed of the arrivals
 */
record LoadPlan(
        List<LoadTarget> targets,
        int requestsPerSecond,
        int blocks,
        Duration blockTime,
        Duration warmUp,
        Duration drainTime,
        int tokens,
        int promptBytes,
        int sharedPrompts,
        String model,
        String teamKey,
        long seed) {
    LoadPlan {
        targets = List.copyOf(targets);
    }
}
