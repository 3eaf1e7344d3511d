package org.dragonflygw.core.exchange;

/** Follows the bytes of a stream of server-sent events and tells where events end: after an empty line. */
final class EventBoundary {
    private int lineLength;
    private boolean insideEvent;
    private boolean anyEvent;

    EventBoundary() {
        this(false);
    }

    /**
     * Creates a boundary before the first byte of a response.
     *
     * @param anyEvent whether the response continues a stream that has events already
     */
    EventBoundary(boolean anyEvent) {
        this.anyEvent = anyEvent;
    }

    /** Follows one byte; returns whether it ends an event. */
    boolean endsEvent(byte b) {
        boolean emptyLine = b == '\n' && lineLength == 0;
        if (b == '\n') {
            lineLength = 0;
        } else if (b != '\r') {
            lineLength++;
        }
        anyEvent |= emptyLine && insideEvent;
        insideEvent = !emptyLine;
        return emptyLine;
    }

    /** Whether the stream may end here: at least one event was complete, and none has begun since. */
    boolean mayEnd() {
        return anyEvent && !insideEvent;
    }
}
