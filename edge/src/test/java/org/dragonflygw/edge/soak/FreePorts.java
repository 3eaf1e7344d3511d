package org.dragonflygw.edge.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Ports of edge processes that nothing else uses. */
final class FreePorts {
    /** Ports of one host; not all are used. */
    static final int PORTS_PER_HOST = 10;

    private static final int FIRST_PORT = 23_000;
    private static final int LAST_PORT = 31_000;

    private FreePorts() {}

    /** First of the ports of several hosts. */
    static int first(int hosts) {
        int count = hosts * PORTS_PER_HOST;
        for (int first = FIRST_PORT; first < LAST_PORT; first += count) {
            if (allFree(first, count)) {
                return first;
            }
        }
        throw new IllegalStateException("no " + count + " free ports from " + FIRST_PORT + " to " + LAST_PORT);
    }

    private static boolean allFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            if (!isFree(port)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return s.isBound();
        } catch (IOException e) {
            return false; // Something listens there.
        }
    }
}
