package org.dragonflygw.standins.engine;

/** State of one client connection. A silent connection stays open, but requests and responses on it are discarded. */
final class ConnectionState {
    private volatile boolean silent;

    boolean silent() {
        return silent;
    }

    void silence() {
        silent = true;
    }
}
