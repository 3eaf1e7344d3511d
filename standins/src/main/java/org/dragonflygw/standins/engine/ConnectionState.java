package org.dragonflygw.standins.engine;

/** State of one connection of a client. A silent connection stays open, but nothing that comes or goes on it arrives. */
final class ConnectionState {
    private volatile boolean silent;

    boolean silent() {
        return silent;
    }

    void silence() {
        silent = true;
    }
}
