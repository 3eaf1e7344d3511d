package org.dragonflygw.core.settings;

/**
 * An IP address with a port.
 *
 * @param ip the address
 * @param port the port
 */
public record HostAddress(String ip, int port) {
    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
