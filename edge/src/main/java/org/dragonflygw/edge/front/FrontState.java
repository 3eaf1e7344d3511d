package org.dragonflygw.edge.front;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tracks the open connections and calls of callers, the memory reserved for request bodies, and whether this process is
 * stopping. Written by the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close is reported as the end of the connection.
public final class FrontState {
    /** Total bytes of request bodies that may be held in memory at once: a small part of a host's memory. */
    private static final long MAX_RESERVED_BYTES = 24L * 1024 * 1024;

    private final Set<FrontHandler> connections = new HashSet<>();
    private boolean stopping;
    private int openCalls;
    private int relayedCalls;
    private int unwrittenResponses;
    private long reservedBytes;

    /** Returns whether the process is stopping; each response then closes its connection. */
    public boolean isStopping() {
        return stopping;
    }

    /** Marks the process as stopping. */
    public void beginStop() {
        stopping = true;
    }

    /** Returns the number of requests whose response has not ended yet. */
    public int openCalls() {
        return openCalls;
    }

    /** Returns the number of responses that have ended but are not completely written to their callers. */
    public int unwrittenResponses() {
        return unwrittenResponses;
    }

    /** Returns the number of open connections of callers. */
    public int connectionCount() {
        return connections.size();
    }

    /** Closes the connections on which no request is open. */
    public void closeIdle() {
        List.copyOf(connections).forEach(FrontHandler::closeIfIdle);
    }

    /** Ends all connections; requests whose response has not begun are answered before. */
    public void endAll() {
        List.copyOf(connections).forEach(FrontHandler::endBeforeExit);
    }

    /** Returns what the open requests wait for, with the number of requests, for the log. */
    public String waitingFor() {
        Map<String, Integer> counts = new TreeMap<>();
        connections.forEach(c -> c.waitingFor().ifPresent(w -> counts.merge(w, 1, Integer::sum)));
        return counts.toString();
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

    /** Returns the number of open calls that other hosts have passed to this one. */
    int relayedCalls() {
        return relayedCalls;
    }

    /**
     * Records a call.
     *
     * @param relayed whether another host has passed it to this one
     */
    void onCallStarted(boolean relayed) {
        openCalls++;
        relayedCalls += relayed ? 1 : 0;
    }

    void onCallEnded(boolean relayed) {
        openCalls--;
        relayedCalls -= relayed ? 1 : 0;
    }

    /** Reserves memory for a part of a request body; returns false if the limit would be exceeded. */
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
