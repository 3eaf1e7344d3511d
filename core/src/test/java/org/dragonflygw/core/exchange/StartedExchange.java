package org.dragonflygw.core.exchange;

import java.util.ArrayList;
import java.util.List;

/** An exchange that a test has started; the events of the endpoints go to its latest attempt. */
final class StartedExchange implements ExchangeOutput {
    private final ExchangeFixture fixture;
    private final Exchange exchange;
    private final List<AttemptListener> attempts = new ArrayList<>();

    StartedExchange(ExchangeFixture fixture, ExchangeRequest request, ExchangeContext context) {
        this.fixture = fixture;
        this.exchange = new Exchange(request, context, this);
        exchange.start();
    }

    /** Returns where the events of an attempt go; the first has the number 0. */
    AttemptListener attempt(int number) {
        return attempts.get(number);
    }

    private AttemptListener latest() {
        return attempts.get(attempts.size() - 1);
    }

    boolean mayStillSend() {
        return latest().mayStillSend();
    }

    void onHead(ResponseHead head) {
        latest().onHead(head);
    }

    void onBody(byte[] body) {
        latest().onBody(body);
    }

    void onComplete() {
        latest().onComplete();
    }

    void onAttemptFailed(AttemptFailure failure) {
        latest().onFailed(failure);
    }

    void onTimer() {
        exchange.onTimer();
    }

    void onOutputPaused() {
        exchange.onOutputPaused();
    }

    void onOutputResumed() {
        exchange.onOutputResumed();
    }

    void onCallerDisconnected() {
        exchange.onCallerDisconnected();
    }

    void onStopping() {
        exchange.onStopping();
    }

    boolean ended() {
        return exchange.ended();
    }

    @Override
    public Attempt send(Dispatch dispatch, AttemptListener listener) {
        attempts.add(listener);
        return fixture.send(dispatch);
    }

    @Override
    public void forwardHead(ResponseHead head) {
        fixture.head = head;
    }

    @Override
    public void forwardBody(byte[] body) {
        fixture.onForwarded(body);
    }

    @Override
    public void finish() {
        fixture.finished = true;
    }

    @Override
    public void abort() {
        fixture.aborted = true;
    }

    @Override
    public void reject(Rejection rejection) {
        fixture.rejections.add(rejection);
    }

    @Override
    public void wakeAt(long nanos) {
        fixture.wakeNanos = nanos;
    }
}
