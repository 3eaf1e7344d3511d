package org.dragonflygw.standins.engine;

/** One request that an engine runs. Changed by {@link EngineCore} under its lock; read from any thread. */
final class EngineStream {
    private static final ResponseSender NO_SENDER = () -> {};

    private final RunRequest request;
    private final long arrival;
    private long dueNanos;
    private volatile int emitted;
    private volatile boolean cancelled;
    private volatile ResponseSender sender = NO_SENDER;
    private long lastActiveNanos;

    EngineStream(RunRequest request, long arrival, long nowNanos) {
        this.request = request;
        this.arrival = arrival;
        this.lastActiveNanos = nowNanos;
    }

    RunRequest request() {
        return request;
    }

    long arrival() {
        return arrival;
    }

    long dueNanos() {
        return dueNanos;
    }

    void setDueNanos(long nanos) {
        dueNanos = nanos;
    }

    /** Returns the number of tokens generated so far. */
    int emitted() {
        return emitted;
    }

    @SuppressWarnings("NonAtomicVolatileUpdate")
    void emit() {
        emitted++;
    }

    boolean finished() {
        return emitted == request.answer().tokens();
    }

    boolean cancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** Sets the sender that receives the tokens; returns the previous sender, which receives no more. */
    synchronized ResponseSender attach(ResponseSender newSender) {
        ResponseSender previous = sender;
        sender = newSender;
        return previous;
    }

    /** Removes the sender of a lost connection, unless another sender has replaced it. */
    synchronized void detach(ResponseSender lost) {
        if (sender == lost) {
            sender = NO_SENDER;
        }
    }

    boolean attached() {
        return sender != NO_SENDER;
    }

    boolean sendsTo(ResponseSender candidate) {
        return sender == candidate;
    }

    void notifySender() {
        sender.onProgress();
    }

    /** Returns the last time at which a sender was seen attached, or the end of the stream. */
    long lastActiveNanos() {
        return lastActiveNanos;
    }

    void markActive(long nowNanos) {
        lastActiveNanos = nowNanos;
    }
}
