package org.dragonflygw.standins.engine;

import java.util.Map;
import java.util.WeakHashMap;

/** Holds the state of each open connection; entries of closed connections are garbage collected. Thread-safe. */
final class ConnectionTable {
    private final Map<Object, ConnectionState> states = new WeakHashMap<>();

    synchronized ConnectionState stateOf(Object connection) {
        return states.computeIfAbsent(connection, ignored -> new ConnectionState());
    }

    /** Makes all connections that are open now silent. */
    synchronized void silenceAll() {
        states.values().forEach(ConnectionState::silence);
    }
}
