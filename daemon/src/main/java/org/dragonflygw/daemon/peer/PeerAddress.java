package org.dragonflygw.daemon.peer;

/**
 * Address at which another daemon serves calls.
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
