package org.dragonflygw.core.crash;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A prompt that was sent to an endpoint, and how it ended there. Tells whether the end of the endpoint speaks against the
 * parts of the prompt. Not thread-safe.
 */
public final class PromptAttempt {
    /**
     * Time after the end of an attempt from which bytes of its endpoint show that the endpoint lived on, in nanoseconds.
     * Bytes that were sent before may be read later.
     */
    private static final long BUFFERED_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time without a byte from an endpoint after which it counts as silent. */
    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Longest time from the last byte of an endpoint to a request for which the endpoint counts as alive. */
    private static final long HEARD_BEFORE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private enum State {
        OPEN,
        /** The connection was lost. */
        LOST,
        /** This host gave the attempt up; the endpoint may have fallen silent. */
        GIVEN_UP
    }

    private final List<Long> parts;
    private final EndpointAttempts endpoint;
    private final long sentNanos;
    private State state = State.OPEN;
    private boolean begun;
    private boolean counted;
    private boolean addressAccepted;
    private long endNanos;

    PromptAttempt(List<Long> parts, EndpointAttempts endpoint, long sentNanos) {
        this.parts = List.copyOf(parts);
        this.endpoint = endpoint;
        this.sentNanos = sentNanos;
    }

    /** Called when the head of a success was read: the endpoint begins to write its response. */
    public void onBegun() {
        begun = true;
    }

    /** Called when bytes of the endpoint were read. */
    public void onHeard(long nowNanos) {
        endpoint.onHeard(nowNanos);
    }

    void lose(long nowNanos) {
        state = State.LOST;
        endNanos = nowNanos;
    }

    /** Records that the address of the endpoint accepted a connection after this one was lost. */
    void onAddressAccepted() {
        addressAccepted = true;
    }

    void giveUp(long nowNanos) {
        state = State.GIVEN_UP;
        endNanos = nowNanos;
    }

    /** Marks the attempt as counted; returns whether it was not before. */
    boolean count() {
        boolean first = !counted;
        counted = true;
        return first;
    }

    List<Long> parts() {
        return parts;
    }

    EndpointAttempts endpoint() {
        return endpoint;
    }

    boolean begun() {
        return begun;
    }

    long sentNanos() {
        return sentNanos;
    }

    /** Returns when the attempt ended, on the monotonic clock; now if it has not. */
    long endNanos(long nowNanos) {
        return state == State.OPEN ? nowNanos : endNanos;
    }

    /**
     * Returns when the endpoint ended as far as this attempt tells, on the monotonic clock; empty if its end has nothing to
     * do with the attempt: the endpoint was heard after the attempt, or was silent before it.
     */
    Optional<Long> lossNanos(long nowNanos) {
        long heardNanos = endpoint.heardNanos();
        if (state == State.LOST) {
            boolean livedOn = heardNanos > endNanos + BUFFERED_NANOS || (addressAccepted && !endpoint.addressTaken());
            return livedOn ? Optional.empty() : Optional.of(endNanos);
        }
        if (state == State.OPEN ? nowNanos - heardNanos < SILENT_NANOS : heardNanos > endNanos + BUFFERED_NANOS) {
            return Optional.empty();
        }
        boolean aliveWhenSent = begun || heardNanos >= sentNanos - HEARD_BEFORE_NANOS;
        return aliveWhenSent ? Optional.of(Math.max(sentNanos, heardNanos)) : Optional.empty();
    }
}
