package org.dragonflygw.daemon.caller;

import java.util.Optional;

/** One open HTTP request of a caller, with the response that is still to be written. Not thread-safe. */
public final class Call implements AutoCloseable {
    /** Name of the servlet attribute that holds the call. */
    static final String ATTRIBUTE = Call.class.getName();

    private final String requestId;
    private Optional<CallerResponse> response = Optional.empty();

    Call(String requestId) {
        this.requestId = requestId;
    }

    /** Id of the request. */
    public String requestId() {
        return requestId;
    }

    /** Sets the response, which {@link #close} closes if the HTTP framework never writes it. */
    void setResponse(CallerResponse callerResponse) {
        response = Optional.of(callerResponse);
    }

    @Override
    public void close() {
        response.ifPresent(CallerResponse::close);
    }
}
