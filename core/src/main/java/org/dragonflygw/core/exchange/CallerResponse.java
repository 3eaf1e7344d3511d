package org.dragonflygw.core.exchange;

import java.util.Optional;
import org.dragonflygw.core.catalog.CatalogRoute;

/**
 * What was forwarded to the caller. A stream whose route allows resuming may be made of the responses of several
 * endpoints, one after the other; it keeps the head of the first.
 */
final class CallerResponse {
    private final CatalogRoute route;
    private final ExchangeOutput out;

    private boolean started;
    private Optional<String> lastEventId = Optional.empty();
    private boolean forwardedWithoutId;

    CallerResponse(CatalogRoute route, ExchangeOutput out) {
        this.route = route;
        this.out = out;
    }

    /** Whether the head was forwarded. */
    boolean started() {
        return started;
    }

    /** Id of the last event that was forwarded, after which another endpoint has to resume; empty if there is none. */
    Optional<String> resumeAfter() {
        return started ? lastEventId : Optional.empty();
    }

    /** Whether the response of another endpoint can still continue what was forwarded. */
    boolean canResume() {
        return !started || (splitsEvents() && lastEventId.isPresent() && !forwardedWithoutId);
    }

    /** Whether events are forwarded only when they are complete. */
    boolean splitsEvents() {
        return route.streaming() && route.resumable();
    }

    /** Whether an event was forwarded before, or one that comes after it. */
    boolean isRepeated(StreamEvent event) {
        if (event.id().isEmpty() || lastEventId.isEmpty()) {
            return false;
        }
        try {
            return Long.parseLong(event.id().get()) <= Long.parseLong(lastEventId.get());
        } catch (NumberFormatException e) {
            return false; // Ids that are not numbers have no order that could be checked.
        }
    }

    /** Forwards a head, unless one was forwarded before. */
    void forwardHead(ResponseHead head) {
        if (!started) {
            started = true;
            out.forwardHead(head);
        }
    }

    /** Forwards a complete event. */
    void forwardEvent(StreamEvent event) {
        forwardedWithoutId |= event.id().isEmpty();
        if (event.id().isPresent()) {
            lastEventId = event.id();
        }
        out.forwardBody(event.bytes());
    }

    /** Forwards a part of the body, unless it is empty. */
    void forwardBody(byte[] body) {
        if (body.length > 0) {
            out.forwardBody(body);
        }
    }

    /** Completes the response. */
    void finish() {
        out.finish();
    }
}
