package org.dragonflygw.standins.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;

/** Finds free TCP ports of the loopback interface. Another process may take a port before it is used. */
public final class LoopbackPorts {
    private static final int MAX_TRIES = 100;

    private LoopbackPorts() {}

    /** Returns a free port; throws {@link StandinException} when there is none. */
    public static int free() {
        return firstFree(1);
    }

    /** Returns the first of some consecutive free ports; throws {@link StandinException} when none were found. */
    public static int firstFree(int count) {
        for (int i = 0; i < MAX_TRIES; i++) {
            int first = ephemeral();
            if (areFree(first, count)) {
                return first;
            }
        }
        throw new StandinException(StandinCode.PORT, "no " + count + " consecutive ports are free");
    }

    /** Returns whether all of some consecutive ports are free. */
    public static boolean areFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            if (!isFree(port)) {
                return false;
            }
        }
        return true;
    }

    private static int ephemeral() {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        } catch (IOException e) {
            throw new StandinException(StandinCode.PORT, "no port is free", e);
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return s.isBound();
        } catch (IOException | IllegalArgumentException e) {
            return false; // Another process listens on the port, or it is above the highest one.
        }
    }
}
