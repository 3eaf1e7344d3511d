package org.dragonflygw.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.daemon.endpoint.EndpointCode;
import org.dragonflygw.daemon.endpoint.EndpointException;

/** Checks that a chat completion object is complete and belongs to its request. */
final class CompletionValidator {
    private CompletionValidator() {}

    /**
     * Checks the response body of an engine.
     *
     * @throws EndpointException when the body is not JSON, belongs to another request, or has a choice without a finish
     *     reason
     */
    static void validate(Endpoint engine, RequestContext request, byte[] content, ObjectMapper json) {
        JsonNode completion;
        try {
            completion = json.readTree(content);
        } catch (IOException e) {
            throw new EndpointException(
                    EndpointCode.MALFORMED_ANSWER, engine.id() + " sent a response that is not valid JSON", e);
        }
        if (!completion.path("id").asText().equals(request.requestId())) {
            throw new EndpointException(
                    EndpointCode.MALFORMED_ANSWER, engine.id() + " sent the response to another request");
        }
        JsonNode choices = completion.path("choices");
        boolean complete = !choices.isEmpty();
        for (JsonNode choice : choices) {
            complete = complete && choice.path("finish_reason").isTextual();
        }
        if (!complete) {
            throw new EndpointException(EndpointCode.MALFORMED_ANSWER, engine.id() + " sent an incomplete response");
        }
    }
}
