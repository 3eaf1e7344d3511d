package org.dragonflygw.edge.upstream;

import org.dragonflygw.core.exchange.AttemptFailure;
import org.dragonflygw.core.exchange.ResponseHead;

/** An attempt from before its connection is made until its end; passes nothing on once it is cancelled or over. */
final class PendingAttempt implements Attempt, AttemptListener {
    private final AttemptListener listener;
    private EndpointConnection connection;
    private boolean over;

    PendingAttempt(AttemptListener listener) {
        this.listener = listener;
    }

    void bind(EndpointConnection c) {
        connection = c;
    }

    boolean cancelled() {
        return over;
    }

    @Override
    public void cancel() {
        if (over) {
            return;
        }
        over = true;
        if (connection != null) {
            connection.close();
        }
    }

    @Override
    public void read(boolean wanted) {
        if (!over && connection != null) {
            connection.read(wanted);
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        if (!over) {
            listener.onHead(head);
        }
    }

    @Override
    public void onBody(byte[] bytes) {
        if (!over) {
            listener.onBody(bytes);
        }
    }

    @Override
    public void onComplete() {
        if (!over) {
            over = true;
            listener.onComplete();
        }
    }

    @Override
    public void onBroken(AttemptFailure cause) {
        if (!over) {
            over = true;
            listener.onBroken(cause);
        }
    }
}
