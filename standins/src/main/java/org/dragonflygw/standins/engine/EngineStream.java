package org.dragonflygw.standins.engine;

/** One request that an engine runs. Mutable; changed by {@link EngineCore} under its lock, read from every thread. */
final class EngineStream {
    private static final AnswerSender NO_SENDER = () -> {};

    private final RunRequest request;
    private final long arrival;
    private long dueNanos;
    private volatile int emitted;
    private volatile boolean cancelled;
    private volatile AnswerSender sender = NO_SENDER;
    private long touchedNanos;

    EngineStream(RunRequest request, long arrival, long nowNanos) {
        this.request = request;
        this.arrival = arrival;
        this.touchedNanos = nowNanos;
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

    /** Tokens that exist. */
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

    /** Makes the connection the one that gets the tokens; returns the earlier one, which gets no more. */
    synchronized AnswerSender attach(AnswerSender newSender) {
        AnswerSender previous = sender;
        sender = newSender;
        return previous;
    }

    /** Takes a lost connection off, unless another one took over. */
    synchronized void detach(AnswerSender lost) {
        if (sender == lost) {
            sender = NO_SENDER;
        }
    }

    boolean attached() {
        return sender != NO_SENDER;
    }

    boolean sendsTo(AnswerSender candidate) {
        return sender == candidate;
    }

    void progressed() {
        sender.progressed();
    }

    /** Last time that a connection was attached, or the end of the stream. */
    long touchedNanos() {
        return touchedNanos;
    }

    void touch(long nowNanos) {
        touchedNanos = nowNanos;
    }
}
