package org.dragonflygw.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.dragonflygw.core.stream.SseEvent;
import org.dragonflygw.daemon.endpoint.EndpointCode;
import org.dragonflygw.daemon.endpoint.EndpointException;

/**
 * Builds a chat completion in one object from the checked chunks of its stream, for an answer whose connection was lost
 * before it came in one piece. Knows the role and the content of a choice; a chunk with anything else is refused rather
 * than dropped. For one thread.
 */
final class CompletionAssembler {
    private final ObjectMapper json;
    private final ObjectNode answer;
    private final Map<Integer, Choice> choices = new TreeMap<>();
    private long contentChars;

    CompletionAssembler(ObjectMapper json) {
        this.json = json;
        this.answer = json.createObjectNode();
    }

    /** Number of characters of content so far. */
    long contentChars() {
        return contentChars;
    }

    /**
     * Adds a chunk.
     *
     * @throws EndpointException when it cannot become part of one object
     */
    void add(SseEvent event) {
        JsonNode chunk;
        try {
            chunk = json.readTree(event.buffer(), event.dataOffset(), event.dataLength());
        } catch (IOException e) {
            throw new EndpointException(EndpointCode.MALFORMED_ANSWER, "a chunk is no JSON", e);
        }
        for (Map.Entry<String, JsonNode> field : chunk.properties()) {
            if (!field.getKey().equals("choices") && !field.getValue().isNull()) {
                answer.set(field.getKey(), field.getValue());
            }
        }
        chunk.path("choices").forEach(this::addChoice);
    }

    /** The whole answer. */
    byte[] toBytes() {
        answer.put("object", "chat.completion");
        ArrayNode list = answer.putArray("choices");
        for (Map.Entry<Integer, Choice> entry : choices.entrySet()) {
            Choice choice = entry.getValue();
            ObjectNode node = list.addObject().put("index", entry.getKey());
            node.putObject("message").put("role", choice.role).put("content", choice.content.toString());
            node.put("finish_reason", choice.finishReason);
        }
        try {
            return json.writeValueAsBytes(answer);
        } catch (IOException e) {
            throw new EndpointException(EndpointCode.MALFORMED_ANSWER, "the answer cannot be written", e);
        }
    }

    private void addChoice(JsonNode node) {
        Choice choice = choices.computeIfAbsent(node.path("index").asInt(0), index -> new Choice());
        for (Map.Entry<String, JsonNode> field : node.path("delta").properties()) {
            addDelta(choice, field.getKey(), field.getValue());
        }
        if (node.path("finish_reason").isTextual()) {
            choice.finishReason = node.path("finish_reason").asText();
        }
    }

    private void addDelta(Choice choice, String name, JsonNode value) {
        if (value.isNull()) {
            return;
        }
        switch (name) {
            case "role" -> choice.role = value.asText();
            case "content" -> {
                choice.content.append(value.asText());
                contentChars += value.asText().length();
            }
            default ->
                throw new EndpointException(
                        EndpointCode.MALFORMED_ANSWER, "a chunk has '" + name + "', which cannot be put together");
        }
    }

    /** One choice while it grows. */
    private static final class Choice {
        private final StringBuilder content = new StringBuilder();
        private String role = "assistant";
        private String finishReason;
    }
}
