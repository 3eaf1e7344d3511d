package org.dragonflygw.core.exchange;

/**
 * Receives the events of a request to an endpoint, on the event loop. {@link #onComplete} or {@link #onFailed} is the
 * last event; a cancelled attempt has no further events.
 */
public interface AttemptListener {
    /** Returns whether the request may still be sent, now that a connection to the endpoint was opened. */
    boolean mayStillSend();

    /**
     * Called with the status and headers of the response. The data plane has checked that the head echoes the id of the
     * request.
     */
    void onHead(ResponseHead head);

    /** Called with each part of the response body. */
    void onBody(byte[] bytes);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when the attempt fails before the response is complete. */
    void onFailed(AttemptFailure failure);
}
