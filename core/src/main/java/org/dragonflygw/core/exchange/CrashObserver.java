package org.dragonflygw.core.exchange;

import java.util.List;
import org.dragonflygw.core.crash.PromptAttempt;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * Records what one attempt shows about crashes of its endpoint, of the request as a whole and of the parts of its prompt.
 * Not thread-safe.
 */
final class CrashObserver {
    /** Time after the first part of a response from which its request is not the reason for an end of the endpoint. */
    private static final long SETTLED_NANOS = 500_000_000L;

    /** Time without a part of a response after which its endpoint may have ended without a reset. */
    private static final long STALL_NANOS = 1_500_000_000L;

    private final ExchangeRequest request;
    private final ExchangeContext context;
    private final List<Long> parts;
    private final DiscoveredEndpoint endpoint;
    private final PromptAttempt attempt;

    private ResponseHead head;

    /** When the first part of the response was read; 0 if none was. */
    private long begunNanos;

    private long lastPartNanos;
    private boolean soundRecorded;
    private boolean stallRecorded;
    private boolean unfinishedRecorded;

    /** Creates an observer of an attempt that is sent now. */
    CrashObserver(ExchangeRequest request, ExchangeContext context, DiscoveredEndpoint endpoint, long now) {
        this.request = request;
        this.context = context;
        this.endpoint = endpoint;
        this.parts = request.prompt().sharedPartIds();
        this.attempt = context.crashingParts().onSent(parts, endpoint.instanceKey(), now);
    }

    /** Called when bytes of the endpoint were read, of whatever kind. */
    void onHeard(long now) {
        attempt.onHeard(now);
    }

    /** Called when the head of the response was read. */
    void onHead(ResponseHead newHead) {
        head = newHead;
        if (head.isSuccess()) {
            attempt.onBegun();
        }
    }

    /** Called when the attempt ended in a way that tells nothing of the request, as when it was rejected. */
    void onClosed() {
        context.crashingParts().onClosed(attempt);
    }

    /** Called when a part of the body was read. */
    void onPart(long now) {
        if (begunNanos == 0) {
            begunNanos = now;
        }
        lastPartNanos = now;
        if (progress() == ResponseProgress.SETTLED) {
            recordSound(now);
        }
    }

    /** Returns how far the response has come; time without a part of it does not count. */
    ResponseProgress progress() {
        if (head == null) {
            return ResponseProgress.NONE;
        }
        if (begunNanos == 0) {
            return ResponseProgress.HEAD;
        }
        return lastPartNanos - begunNanos < SETTLED_NANOS ? ResponseProgress.BEGUN : ResponseProgress.SETTLED;
    }

    /**
     * Called when a success was complete: the endpoint answered and lived on. Where the response ended with its connection,
     * the endpoint may have ended in the same moment, which matters only to a request that is suspected already.
     */
    void onCompleted(long now) {
        if (!head.endsWithConnection()) {
            clear(now);
            return;
        }
        onClosed();
        boolean suspected = context.crashes().isSuspected(request.fingerprint())
                || context.crashingParts().isSuspected(parts);
        if (suspected) {
            context.probe().probe(endpoint, result -> {
                if (result == EndpointProbe.Result.ALIVE) {
                    clear(now);
                }
            });
        }
    }

    private void clear(long now) {
        context.crashes().onCompleted(request.fingerprint(), now);
        recordSound(now);
    }

    /** An endpoint wrote an answer to the prompt for a while, or completed it, so its parts do not crash endpoints. */
    private void recordSound(long now) {
        if (!soundRecorded && head.isSuccess()) {
            soundRecorded = true;
            context.crashingParts().onSound(attempt, now);
        }
    }

    /** Called when the attempt ended without a complete response. */
    void onFailed(AttemptFailure cause, long now) {
        switch (cause) {
            case CONNECT_TIMEOUT, WITHDRAWN -> onClosed();
            case CONNECT_REFUSED -> {
                onClosed();
                context.crashes().onConnectionRefused(endpoint.instanceKey(), now);
            }
            case CONNECTION_LOST -> onConnectionLost(now);
            case MALFORMED -> onMalformed(now);
            default -> onUnfinished(now);
        }
    }

    private void onConnectionLost(long now) {
        context.crashes().onConnectionLost(request.fingerprint(), endpoint.instanceKey(), now);
        if (!maySpeakAgainstParts()) {
            onClosed();
            return;
        }
        context.crashingParts().onConnectionLost(attempt, now);
        probe();
    }

    /** Called when the time for the request is over; the endpoint may be ending under it, which shows only later. */
    void onUnfinished(long now) {
        onSilent(now);
        onCallerLeft(now);
    }

    /** Called when the endpoint has sent nothing for a while; it may be ending under the request, which shows only later. */
    void onSilent(long now) {
        if (isBeginning()) {
            probe();
        }
        recordUnfinished(now);
    }

    private void recordUnfinished(long now) {
        if (!unfinishedRecorded) {
            unfinishedRecorded = true;
            context.crashes().onUnfinished(request.fingerprint(), endpoint.instanceKey(), now);
        }
    }

    /** The endpoint sent something that is not a valid response; it answered, so parts are not suspected. */
    private void onMalformed(long now) {
        onClosed();
        recordUnfinished(now);
    }

    /** Called when the caller left before the response was complete. Many do, so the endpoint is not probed. */
    void onCallerLeft(long now) {
        if (maySpeakAgainstParts()) {
            context.crashingParts().onGivenUp(attempt, now);
        } else {
            onClosed();
        }
        recordUnfinished(now);
    }

    /** Whether an end of the endpoint now may be due to a part of the prompt. */
    private boolean maySpeakAgainstParts() {
        return !soundRecorded && !parts.isEmpty() && (head == null || isBeginning());
    }

    /** Looks whether the endpoint has ended, before its entry in the store says so. */
    private void probe() {
        context.probe().probe(endpoint, this::onProbed);
    }

    private void onProbed(EndpointProbe.Result result) {
        long now = context.clock().nanos();
        if (result == EndpointProbe.Result.ENDED) {
            context.crashes().onConnectionRefused(endpoint.instanceKey(), now);
            context.crashingParts().onEndpointEnded(endpoint.instanceKey(), now);
        } else if (result == EndpointProbe.Result.ALIVE) {
            context.crashingParts().onAddressAccepted(endpoint.instanceKey());
        }
    }

    private boolean isBeginning() {
        ResponseProgress progress = progress();
        return (progress == ResponseProgress.HEAD || progress == ResponseProgress.BEGUN)
                && head.isSuccess()
                && !parts.isEmpty();
    }

    /**
     * Returns when a response counts as stalled, so that its endpoint may have ended without a reset.
     *
     * @param lastReadNanos when the last part of the response was read
     */
    long stallNanos(long lastReadNanos) {
        boolean begun = head != null && head.isSuccess();
        return begun && !stallRecorded ? lastReadNanos + STALL_NANOS : Long.MAX_VALUE;
    }

    /** Records a stall if it is due. */
    void onTimer(long lastReadNanos, long now) {
        if (now >= stallNanos(lastReadNanos)) {
            stallRecorded = true;
            context.crashingParts().onEndpointSilent(endpoint.instanceKey(), now);
            probe();
        }
    }
}
