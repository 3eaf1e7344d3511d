package org.dragonflygw.core.exchange;

/** One attempt of an exchange at a simulated endpoint: hands events on until the attempt ends or is cancelled. */
class SimulatedAttempt implements Attempt {
    private final AttemptListener listener;
    private boolean ended;

    SimulatedAttempt(AttemptListener listener) {
        this.listener = listener;
    }

    /** Whether the exchange still waits for events, and its host gets them. */
    boolean isOpen() {
        return !ended;
    }

    void head(ResponseHead head) {
        if (isOpen()) {
            listener.onHead(head);
        }
    }

    void body(byte[] body) {
        if (isOpen()) {
            listener.onBody(body);
        }
    }

    void complete() {
        if (isOpen()) {
            ended = true;
            listener.onComplete();
        }
    }

    void fail(AttemptFailure failure) {
        if (isOpen()) {
            ended = true;
            listener.onFailed(failure);
        }
    }

    @Override
    public boolean cancel() {
        ended = true;
        return true;
    }

    @Override
    public void setAutoRead(boolean enabled) {}
}
