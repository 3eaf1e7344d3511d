package org.dragonflygw.edge.upstream;

import org.dragonflygw.core.exchange.ResponseHead;

/** Receives the events of a request that was passed to another host, on the event loop. */
public interface RelayListener {
    /**
     * Called with the head of the response.
     *
     * @param rejectReason name of the reason if the other host rejects the request itself; empty if an endpoint answers
     */
    void onRelayedHead(ResponseHead head, String rejectReason);

    /** Called with each part of the response body. */
    void onRelayedBody(byte[] bytes);

    /** Called when the response is complete; no further event follows. */
    void onRelayComplete();

    /**
     * Called when the other host cannot be reached or the connection to it is lost; no further event follows.
     *
     * @param sent whether the request may have reached the other host
     */
    void onRelayFailed(boolean sent);
}
