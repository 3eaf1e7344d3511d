package org.dragonflygw.core.exchange;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.dragonflygw.core.catalog.CatalogRoute;

/**
 * Buffers the response of an endpoint on its way to the caller. A plain response is held until it is complete, so that
 * the request can be retried if the response breaks off. A streamed response is forwarded as it arrives; if its route
 * allows resuming, it is forwarded in complete events only.
 */
final class ResponseBuffer {
    /**
     * Largest response that is held, in bytes. A larger success is forwarded as it arrives; a larger error is taken for
     * bytes that are no response.
     */
    private static final int MAX_HELD_BYTES = 131_072;

    private static final int STATUS_NO_CONTENT = 204;

    private final CatalogRoute route;
    private final ExchangeOutput out;
    private final Runnable startListener;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);
    private final EventSplitter splitter = new EventSplitter();
    private final EventBoundary boundary = new EventBoundary();

    private ResponseHead head;
    private boolean started;
    private boolean empty = true;
    private Optional<String> lastEventId = Optional.empty();
    private boolean forwardedWithoutId;
    private boolean progressed;

    /**
     * Creates an empty buffer.
     *
     * @param startListener called right before the first part of a response is forwarded
     */
    ResponseBuffer(CatalogRoute route, ExchangeOutput out, Runnable startListener) {
        this.route = route;
        this.out = out;
        this.startListener = startListener;
    }

    boolean hasHead() {
        return head != null;
    }

    ResponseHead head() {
        return head;
    }

    /** Whether the head was forwarded to the caller. */
    boolean started() {
        return started;
    }

    /** Id of the last event that was forwarded, after which another endpoint has to resume; empty if there is none. */
    Optional<String> resumeAfter() {
        return started ? lastEventId : Optional.empty();
    }

    /** Whether the response of another endpoint can still continue what was forwarded to the caller. */
    boolean canResume() {
        return !started || (splitsEvents() && lastEventId.isPresent() && !forwardedWithoutId);
    }

    void setHead(ResponseHead newHead) {
        head = newHead;
    }

    /**
     * Takes a part of the body.
     *
     * @return false if the body is invalid: an event id that does not increase, or an event or an error that is too long
     */
    boolean appendBody(byte[] body) {
        empty &= body.length == 0;
        progressed = !route.streaming();
        if (route.streaming()) {
            for (byte b : body) {
                progressed |= boundary.endsEvent(b);
            }
        }
        if (!forwardsImmediately()) {
            return hold(body);
        }
        if (splitsEvents()) {
            return forwardEvents(body);
        }
        forwardHeadOnce();
        out.forwardBody(body);
        return true;
    }

    /** Whether the last part ended an event of a stream; bytes of an event that never ends bring the caller nothing. */
    boolean progressed() {
        return progressed;
    }

    /**
     * Whether what was read can be a whole response. A declared length has shown it; else a stream ends after an event, and
     * a body that ends with its connection is not empty.
     */
    boolean mayBeComplete() {
        if (!head.isSuccess() || head.contentLength() >= 0) {
            return true;
        }
        return route.streaming() ? boundary.mayEnd() : !(empty && head.endsWithConnection() && hasBody());
    }

    private boolean hasBody() {
        return head.status() != STATUS_NO_CONTENT;
    }

    private boolean hold(byte[] body) {
        boolean fits = held.size() + body.length <= MAX_HELD_BYTES;
        if (!fits && !head.isSuccess()) {
            return false;
        }
        held.writeBytes(body);
        if (!fits) {
            forwardHeld();
        }
        return true;
    }

    private boolean forwardsImmediately() {
        return head.isSuccess() && (route.streaming() || started);
    }

    private boolean splitsEvents() {
        return route.streaming() && route.resumable();
    }

    private boolean forwardEvents(byte[] body) {
        for (StreamEvent event : splitter.append(body)) {
            if (event.id().isPresent() && isRepeated(event.id().get())) {
                return false;
            }
            forwardHeadOnce();
            forwardedWithoutId |= event.id().isEmpty();
            if (event.id().isPresent()) {
                lastEventId = event.id();
            }
            out.forwardBody(event.bytes());
        }
        return !splitter.exceedsMaxEventSize();
    }

    private boolean isRepeated(String id) {
        try {
            return lastEventId.isPresent() && Long.parseLong(id) <= Long.parseLong(lastEventId.get());
        } catch (NumberFormatException e) {
            return false; // Ids that are not numbers have no order that could be checked.
        }
    }

    private void forwardHeld() {
        forwardHeadOnce();
        out.forwardBody(held.toByteArray());
        held.reset();
    }

    private void forwardHeadOnce() {
        if (!started) {
            started = true;
            startListener.run();
            out.forwardHead(head);
        }
    }

    /** Discards the head and everything that was not forwarded, before another attempt. */
    void discardUnsent() {
        held.reset();
        splitter.drain();
        boundary.restart();
        empty = true;
        head = null;
    }

    /** Forwards what is held and completes the response to the caller. */
    void complete() {
        forwardHeadOnce();
        if (held.size() > 0) {
            out.forwardBody(held.toByteArray());
            held.reset();
        }
        byte[] remainder = splitter.drain();
        if (remainder.length > 0) {
            out.forwardBody(remainder);
        }
        out.finish();
    }
}
