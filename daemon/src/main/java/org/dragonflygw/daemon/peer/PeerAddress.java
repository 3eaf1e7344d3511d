package org.dragonflygw.daemon.peer;

/**
 * Where another daemon answers calls.
 *
 * @param host IP address
 * @param port peer port
 */
public record PeerAddress(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
