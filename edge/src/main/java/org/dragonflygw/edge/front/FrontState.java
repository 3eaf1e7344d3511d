package org.dragonflygw.edge.front;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The open connections and calls of callers, and whether this process is about to stop. Used by one thread. */
@SuppressWarnings("FutureReturnValueIgnored") // Failed writes and closes show as the end of the connection.
public final class FrontState {
    /** Bytes of request bodies that may be held at once: a small part of a host's memory. */
    private static final long MAX_RESERVED_BYTES = 24L * 1024 * 1024;

    private final Set<FrontHandler> connections = new HashSet<>();
    private boolean isStopping;
    private int openCalls;
    private int unwrittenResponses;
    private long reservedBytes;

    /** Whether the process is about to stop; answers then close their connections. */
    public boolean isStopping() {
        return isStopping;
    }

    /** Begins to stop. */
    public void beginStop() {
        isStopping = true;
    }

    /** Requests that are not yet answered. */
    public int openCalls() {
        return openCalls;
    }

    /** Answers that have ended but are not yet written in whole to their callers. */
    public int unwrittenResponses() {
        return unwrittenResponses;
    }

    /** Connections of callers. */
    public int connectionCount() {
        return connections.size();
    }

    /** Closes the connections on which no request is open. */
    public void closeIdle() {
        List.copyOf(connections).forEach(FrontHandler::closeIfIdle);
    }

    /** Closes all connections. */
    public void closeAll() {
        List.copyOf(connections).forEach(c -> c.channel().ifPresent(Channel::close));
    }

    void onConnection(FrontHandler handler) {
        connections.add(handler);
    }

    void onDisconnection(FrontHandler handler) {
        connections.remove(handler);
    }

    void onResponseEnding() {
        unwrittenResponses++;
    }

    void onResponseWritten() {
        unwrittenResponses--;
    }

    void onCallStarted() {
        openCalls++;
    }

    void onCallEnded() {
        openCalls--;
    }

    /** Reserves memory for a part of a body; false if too much is held. */
    boolean tryReserveBytes(int bytes) {
        if (reservedBytes + bytes > MAX_RESERVED_BYTES) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void releaseBytes(long bytes) {
        reservedBytes -= bytes;
    }
}
