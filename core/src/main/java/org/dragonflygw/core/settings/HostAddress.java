package org.dragonflygw.core.settings;

/**
 * IP address and port. The methods of {@link Object} are written out, because the generated ones build method handles
 * when a process starts and first compares two addresses.
 *
 * @param ip IP address
 * @param port port number
 */
public record HostAddress(String ip, int port) {
    @Override
    public boolean equals(Object other) {
        return other instanceof HostAddress that && port == that.port && ip.equals(that.ip);
    }

    @Override
    public int hashCode() {
        return 31 * ip.hashCode() + port;
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
