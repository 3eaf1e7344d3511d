package org.dragonflygw.standins.engine;

import java.util.Map;
import java.util.WeakHashMap;

/** States of the open connections. Safe from every thread. */
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
