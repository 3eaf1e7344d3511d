package org.dragonflygw.core.exchange;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.dragonflygw.core.catalog.CatalogRoute;

/**
 * The answer on its way from an endpoint to the caller. Plain answers are held until they are whole, so that a broken
 * one can be asked for again; streams are passed on as they come, and those that may be resumed in whole events only.
 */
final class ResponseBuffer {
    /** Largest plain answer that is held, in bytes; larger ones are passed on as they come. */
    private static final int MAX_HELD_BYTES = 131_072;

    private final CatalogRoute route;
    private final ExchangeOutput out;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);
    private final EventSplitter splitter = new EventSplitter();

    private ResponseHead head;
    private boolean started;
    private Optional<String> lastEventId = Optional.empty();
    private boolean passedWithoutId;

    ResponseBuffer(CatalogRoute route, ExchangeOutput out) {
        this.route = route;
        this.out = out;
    }

    boolean hasHead() {
        return head != null;
    }

    ResponseHead head() {
        return head;
    }

    /** Whether the caller has got the head. */
    boolean started() {
        return started;
    }

    /** Id after which another endpoint would have to go on. */
    Optional<String> resumeAfter() {
        return started ? lastEventId : Optional.empty();
    }

    /** Whether another endpoint's answer can still follow what the caller has. */
    boolean canResume() {
        return !started || (splitsEvents() && lastEventId.isPresent() && !passedWithoutId);
    }

    void setHead(ResponseHead h) {
        head = h;
    }

    /** Takes a part of the body; returns false if it makes no sense. */
    boolean appendBody(byte[] body) {
        if (!passesAtOnce()) {
            held.writeBytes(body);
            if (held.size() > MAX_HELD_BYTES && head.isSuccess()) {
                passHeld();
            }
            return true;
        }
        if (splitsEvents()) {
            return passEvents(body);
        }
        startAnswer();
        out.forwardBody(body);
        return true;
    }

    private boolean passesAtOnce() {
        return head.isSuccess() && (route.streaming() || started);
    }

    private boolean splitsEvents() {
        return route.streaming() && route.resumable();
    }

    private boolean passEvents(byte[] body) {
        for (StreamEvent e : splitter.append(body)) {
            if (e.id().isPresent() && repeats(e.id().get())) {
                return false;
            }
            startAnswer();
            passedWithoutId |= e.id().isEmpty();
            if (e.id().isPresent()) {
                lastEventId = e.id();
            }
            out.forwardBody(e.bytes());
        }
        return !splitter.exceedsMaxEventSize();
    }

    private boolean repeats(String id) {
        try {
            return lastEventId.isPresent() && Long.parseLong(id) <= Long.parseLong(lastEventId.get());
        } catch (NumberFormatException e) {
            return false; // Ids that are no numbers have no order to check.
        }
    }

    private void passHeld() {
        startAnswer();
        out.forwardBody(held.toByteArray());
        held.reset();
    }

    private void startAnswer() {
        if (!started) {
            started = true;
            out.forwardHead(head);
        }
    }

    /** Forgets what the caller has not got, before another attempt. */
    void discardUnsent() {
        held.reset();
        splitter.drain();
        head = null;
    }

    /** Ends the answer as whole. */
    void complete() {
        startAnswer();
        if (held.size() > 0) {
            out.forwardBody(held.toByteArray());
            held.reset();
        }
        byte[] rest = splitter.drain();
        if (rest.length > 0) {
            out.forwardBody(rest);
        }
        out.finish();
    }
}
