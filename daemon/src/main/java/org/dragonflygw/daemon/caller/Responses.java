package org.dragonflygw.daemon.caller;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;

/** Converts a {@link CallerResponse} to the response of the HTTP framework. */
final class Responses {
    private static final String REPLAYED_HEADER = "Idempotency-Replayed";

    private Responses() {}

    /** The call that {@link CallFilter} stored in the servlet request. */
    static Call call(HttpServletRequest request) {
        return (Call) request.getAttribute(Call.ATTRIBUTE);
    }

    /** Builds the HTTP response and registers its source with the call, so that the source is closed in every case. */
    static Response respond(Call call, CallerResponse callerResponse) {
        call.setResponse(callerResponse);
        Response.ResponseBuilder response =
                Response.status(callerResponse.status()).entity((StreamingOutput) callerResponse::write);
        if (!callerResponse.contentType().isEmpty()) {
            response.header(HttpHeaders.CONTENT_TYPE, callerResponse.contentType());
        }
        if (callerResponse.isReplayed()) {
            response.header(REPLAYED_HEADER, "true");
        }
        return response.build();
    }
}
