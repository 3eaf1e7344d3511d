package org.dragonflygw.edge.process;

import java.nio.file.Files;
import java.util.concurrent.TimeUnit;

/**
 * Runs {@link PromptFleet} by hand and prints what came of it. Arguments: seed, seconds, whether the head is written, whether
 * endpoints end silently, whether successors have the same address, the delay of the end and the first wait in milliseconds,
 * one prompt in how many has the crashing part, one sound prompt in how many ends its endpoint by chance (0 for none).
 */
public final class PromptFleetMain {
    private PromptFleetMain() {}

    /** Runs the fleet once. */
    public static void main(String[] args) throws Exception {
        EndpointEnding ending = new EndpointEnding(
                Boolean.parseBoolean(args[2]),
                Boolean.parseBoolean(args[3]),
                Boolean.parseBoolean(args[4]),
                Integer.parseInt(args[5]));
        try (PromptFleet fleet = new PromptFleet(
                Long.parseLong(args[0]),
                ending,
                Integer.parseInt(args[6]),
                Integer.parseInt(args[7]),
                Integer.parseInt(args[8]),
                Files.createTempDirectory("prompt-fleet"))) {
            fleet.run(TimeUnit.SECONDS.toMillis(Long.parseLong(args[1])));
            System.out.printf(
                    "%s: ends %d, late %d, by chance %d; sound served %d of %d, blocked %d, unreachable %d%n",
                    String.join(" ", args),
                    fleet.crashes(),
                    fleet.lateArrivals(),
                    fleet.chanceEnds(),
                    fleet.soundServed(),
                    fleet.soundSent(),
                    fleet.soundBlocked().size(),
                    fleet.soundUnreachable());
        }
    }
}
