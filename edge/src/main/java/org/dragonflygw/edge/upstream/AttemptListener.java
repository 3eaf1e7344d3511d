package org.dragonflygw.edge.upstream;

import org.dragonflygw.core.exchange.AttemptFailure;
import org.dragonflygw.core.exchange.ResponseHead;

/**
 * Receives the events of a request to an endpoint, on the event loop. {@link #onComplete} or {@link #onFailed} is the
 * last event; a cancelled attempt has no further events.
 */
public interface AttemptListener {
    /** Returns whether the request may still be sent, now that a connection to the endpoint was opened. */
    boolean mayStillSend();

    /** Called with the status and headers of the response. */
    void onHead(ResponseHead head);

    /** Called with each part of the response body. */
    void onBody(byte[] bytes);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when the attempt fails before the response is complete. */
    void onFailed(AttemptFailure failure);
}
