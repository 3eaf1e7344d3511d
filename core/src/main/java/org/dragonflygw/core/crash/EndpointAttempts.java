package org.dragonflygw.core.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The prompts at one instance of an endpoint that its end may have to do with. Not thread-safe. */
final class EndpointAttempts {
    /** Time after an attempt within which an end of its endpoint is attributed to it: an entry outlives its endpoint. */
    private static final long ATTRIBUTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Maximum number of remembered attempts that have ended: several times the requests that one host has on an engine. */
    private static final int MAX_UNFINISHED = 256;

    private final String instance;
    private final Set<PromptAttempt> open = new LinkedHashSet<>();
    private final Deque<PromptAttempt> unfinished = new ArrayDeque<>();
    private long heardNanos;
    private boolean ended;
    private boolean addressTaken;

    /**
     * Creates the attempts at an endpoint that was not heard yet; it is taken to be alive.
     */
    EndpointAttempts(String instance, long nowNanos) {
        this.instance = instance;
        this.heardNanos = nowNanos;
    }

    String instance() {
        return instance;
    }

    /** Returns when the endpoint was heard last, on the monotonic clock. */
    long heardNanos() {
        return heardNanos;
    }

    void onHeard(long nowNanos) {
        heardNanos = nowNanos;
    }

    /** Whether the endpoint is known to have ended. */
    boolean ended() {
        return ended;
    }

    /** Whether another endpoint has the address of this one, so that a connection to it shows nothing. */
    boolean addressTaken() {
        return addressTaken;
    }

    void onAddressTaken() {
        addressTaken = true;
    }

    /** Records that the address accepted a connection. */
    void onAddressAccepted() {
        unfinished.forEach(PromptAttempt::onAddressAccepted);
    }

    void add(PromptAttempt attempt) {
        open.add(attempt);
    }

    /** Removes an attempt whose response was sound or complete, or that was not executed. */
    void remove(PromptAttempt attempt) {
        open.remove(attempt);
    }

    /** Keeps an attempt that ended without a complete response, for the case that the endpoint turns out to have ended. */
    void keep(PromptAttempt attempt) {
        open.remove(attempt);
        unfinished.addLast(attempt);
        if (unfinished.size() > MAX_UNFINISHED) {
            unfinished.removeFirst();
        }
    }

    /** Whether nothing is known that the end of the endpoint could have to do with. */
    boolean isIdle(long nowNanos) {
        return open.isEmpty() && unfinished.stream().noneMatch(a -> isRecent(a, nowNanos));
    }

    private static boolean isRecent(PromptAttempt attempt, long nowNanos) {
        return nowNanos - attempt.endNanos(nowNanos) <= ATTRIBUTION_NANOS;
    }

    /** Returns the attempts that are open or ended shortly before. */
    List<PromptAttempt> recent(long nowNanos) {
        List<PromptAttempt> attempts = new ArrayList<>(open);
        unfinished.stream().filter(a -> isRecent(a, nowNanos)).forEach(attempts::add);
        return attempts;
    }

    /** Records that the endpoint ended. */
    void end() {
        ended = true;
    }
}
