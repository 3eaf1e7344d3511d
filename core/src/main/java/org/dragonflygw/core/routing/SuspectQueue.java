package org.dragonflygw.core.routing;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Bounded FIFO queue of suspect requests, of which an engine runs one at a time. Not thread safe; guarded by the owner.
 */
final class SuspectQueue {
    private static final int MAX_WAITING = 8;

    private final ArrayDeque<WaitingRequest> waiting = new ArrayDeque<>();

    /** Adds a request; returns false if the queue is full. */
    boolean offer(WaitingRequest waiter) {
        if (waiting.size() >= MAX_WAITING) {
            return false;
        }
        waiting.addLast(waiter);
        return true;
    }

    Optional<WaitingRequest> peek() {
        return Optional.ofNullable(waiting.peekFirst());
    }

    void removeFirst() {
        waiting.removeFirst();
    }

    /** Removes and returns the requests that reached their maximum wait. */
    List<WaitingRequest> takeOverdue(Instant now) {
        List<WaitingRequest> overdue = new ArrayList<>();
        waiting.removeIf(waiter -> waiter.isOverdue(now) && overdue.add(waiter));
        return overdue;
    }

    /** Removes and returns all requests. */
    List<WaitingRequest> takeAll() {
        List<WaitingRequest> all = new ArrayList<>(waiting);
        waiting.clear();
        return all;
    }
}
