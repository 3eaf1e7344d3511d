package org.dragonflygw.edge.process;

import org.dragonflygw.standins.loopback.LoopbackPorts;

/** Finds free ports for edge processes. */
public final class FreePorts {
    /** Number of ports reserved for each host; not all are used. */
    public static final int PORTS_PER_HOST = 10;

    private static final int FIRST_PORT = 23_000;
    private static final int LAST_PORT = 31_000;

    private FreePorts() {}

    /** Returns the first port of a free range for the given number of hosts. */
    public static int first(int hosts) {
        int count = hosts * PORTS_PER_HOST;
        for (int first = FIRST_PORT; first < LAST_PORT; first += count) {
            if (LoopbackPorts.areFree(first, count)) {
                return first;
            }
        }
        throw new IllegalStateException("no " + count + " free ports from " + FIRST_PORT + " to " + LAST_PORT);
    }
}
