package org.dragonflygw.edge.upstream;

import org.dragonflygw.core.exchange.Attempt;
import org.dragonflygw.core.exchange.AttemptFailure;
import org.dragonflygw.core.exchange.AttemptListener;
import org.dragonflygw.core.exchange.ResponseHead;

/**
 * An attempt from before its connection is open until its end. Forwards events to the listener until the attempt is
 * cancelled, complete or failed.
 */
final class PendingAttempt implements Attempt, AttemptListener {
    private final AttemptListener listener;
    private EndpointConnection connection;
    private boolean ended;

    PendingAttempt(AttemptListener listener) {
        this.listener = listener;
    }

    void bind(EndpointConnection c) {
        connection = c;
    }

    @Override
    public boolean cancel() {
        if (!ended && connection != null) {
            connection.abandon();
        }
        ended = true;
        return connection != null;
    }

    @Override
    public void setAutoRead(boolean enabled) {
        if (!ended && connection != null) {
            connection.setAutoRead(enabled);
        }
    }

    @Override
    public boolean mayStillSend() {
        return !ended && listener.mayStillSend();
    }

    @Override
    public void onHead(ResponseHead head) {
        if (!ended) {
            listener.onHead(head);
        }
    }

    @Override
    public void onBody(byte[] bytes) {
        if (!ended) {
            listener.onBody(bytes);
        }
    }

    @Override
    public void onComplete() {
        if (!ended) {
            ended = true;
            listener.onComplete();
        }
    }

    @Override
    public void onFailed(AttemptFailure failure) {
        if (!ended) {
            ended = true;
            listener.onFailed(failure);
        }
    }
}
