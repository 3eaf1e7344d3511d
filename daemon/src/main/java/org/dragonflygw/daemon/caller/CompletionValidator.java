package org.dragonflygw.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.daemon.endpoint.EndpointCode;
import org.dragonflygw.daemon.endpoint.EndpointException;

/** Checks that a chat completion given as one JSON object is whole and belongs to its request. */
final class CompletionValidator {
    private CompletionValidator() {}

    /**
     * Checks an answer.
     *
     * @throws EndpointException when it is of another request or not whole
     */
    static void validate(Endpoint engine, RequestContext request, byte[] content, ObjectMapper json) {
        JsonNode answer;
        try {
            answer = json.readTree(content);
        } catch (IOException e) {
            throw new EndpointException(EndpointCode.MALFORMED_ANSWER, engine.id() + " sent no JSON", e);
        }
        if (!answer.path("id").asText().equals(request.requestId())) {
            throw new EndpointException(
                    EndpointCode.MALFORMED_ANSWER, engine.id() + " sent the answer to another request");
        }
        JsonNode choices = answer.path("choices");
        boolean whole = !choices.isEmpty();
        for (JsonNode choice : choices) {
            whole = whole && choice.path("finish_reason").isTextual();
        }
        if (!whole) {
            throw new EndpointException(EndpointCode.MALFORMED_ANSWER, engine.id() + " sent an unfinished answer");
        }
    }
}
