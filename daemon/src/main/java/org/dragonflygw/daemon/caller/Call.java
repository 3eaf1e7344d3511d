package org.dragonflygw.daemon.caller;

import java.util.Optional;

/** One request of a caller while it is open, and the answer that is still to be written. For one thread. */
public final class Call implements AutoCloseable {
    /** Name of the servlet attribute that holds the call. */
    static final String ATTRIBUTE = Call.class.getName();

    private final String requestId;
    private Optional<CallerResponse> pending = Optional.empty();

    Call(String requestId) {
        this.requestId = requestId;
    }

    /** Id of the request. */
    public String requestId() {
        return requestId;
    }

    /** Keeps an answer so that it is ended in any case. */
    void setResponse(CallerResponse answer) {
        pending = Optional.of(answer);
    }

    @Override
    public void close() {
        pending.ifPresent(CallerResponse::close);
    }
}
