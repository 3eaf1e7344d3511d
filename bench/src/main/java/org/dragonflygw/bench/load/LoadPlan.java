package org.dragonflygw.bench.load;

import java.time.Duration;
import java.util.List;

/**
 * Settings of one load measurement.
 *
 * @param targets targets; each block measures them one after another
 * @param requestsPerSecond mean arrival rate; arrivals are random and do not wait for responses (open loop)
 * @param blocks number of measured blocks for each target
 * @param blockTime duration of arrivals in one block
 * @param warmUp duration of arrivals at each target before the first block; not measured
 * @param drainTime maximum wait for the last responses of a block
 * @param tokens tokens of each response
 * @param promptBytes length of each prompt in bytes
 * @param sharedPrompts number of different prompts
 * @param model model name in the requests
 * @param teamKey team key; empty for none
 * @param seed seed of the arrivals and prompts
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
