package org.dragonflygw.core.settings;

/**
 * IP address and port.
 *
 * @param ip IP address
 * @param port port number
 */
public record HostAddress(String ip, int port) {
    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
