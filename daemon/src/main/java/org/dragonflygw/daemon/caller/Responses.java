package org.dragonflygw.daemon.caller;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;

/** Hands answers to the HTTP server. */
final class Responses {
    private static final String REPLAYED_HEADER = "Idempotency-Replayed";

    private Responses() {}

    /** The call that a servlet request belongs to. */
    static Call call(HttpServletRequest request) {
        return (Call) request.getAttribute(Call.ATTRIBUTE);
    }

    /** Builds the response that writes an answer; the call ends the answer in any case. */
    static Response respond(Call call, CallerResponse answer) {
        call.setResponse(answer);
        Response.ResponseBuilder response = Response.status(answer.status()).entity((StreamingOutput) answer::write);
        if (!answer.contentType().isEmpty()) {
            response.header(HttpHeaders.CONTENT_TYPE, answer.contentType());
        }
        if (answer.isReplayed()) {
            response.header(REPLAYED_HEADER, "true");
        }
        return response.build();
    }
}
