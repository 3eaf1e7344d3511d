package org.dragonflygw.core.exchange;

import java.io.ByteArrayOutputStream;
import org.dragonflygw.core.catalog.CatalogRoute;

/**
 * Buffers the response of one endpoint on its way to the caller. A plain response is held until it is complete, so that
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
    private final CallerResponse caller;
    private final Runnable forwardListener;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);
    private final EventSplitter splitter = new EventSplitter();
    private final EventBoundary boundary;

    private ResponseHead head;
    private boolean empty = true;
    private boolean progressed;

    /**
     * Creates an empty buffer.
     *
     * @param caller the response to the caller, which this one begins or continues
     * @param forwardListener called right before each part that is forwarded
     */
    ResponseBuffer(CatalogRoute route, CallerResponse caller, Runnable forwardListener) {
        this.route = route;
        this.caller = caller;
        this.forwardListener = forwardListener;
        this.boundary = new EventBoundary(caller.started());
    }

    boolean hasHead() {
        return head != null;
    }

    ResponseHead head() {
        return head;
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
        if (caller.splitsEvents()) {
            return forwardEvents(body);
        }
        forward(body);
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
        return head.isSuccess() && (route.streaming() || caller.started());
    }

    private boolean forwardEvents(byte[] body) {
        for (StreamEvent event : splitter.append(body)) {
            if (caller.isRepeated(event)) {
                return false;
            }
            forwardListener.run();
            caller.forwardHead(head);
            caller.forwardEvent(event);
        }
        return !splitter.exceedsMaxEventSize();
    }

    private void forwardHeld() {
        byte[] bytes = held.toByteArray();
        held.reset();
        forward(bytes);
    }

    private void forward(byte[] body) {
        forwardListener.run();
        caller.forwardHead(head);
        caller.forwardBody(body);
    }

    /** Forwards what is held and completes the response to the caller. */
    void complete() {
        forwardHeld();
        caller.forwardBody(splitter.drain());
        caller.finish();
    }
}
