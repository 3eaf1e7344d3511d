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
 * Assembles a chat completion object from the chunks of a stream. Used for an unstreamed request whose connection was
 * lost before the complete response arrived. Supports the {@code role} and {@code content} of a choice; a chunk with
 * any other field is rejected, because dropping the field would change the answer. Not thread-safe.
 */
final class CompletionAssembler {
    private final ObjectMapper json;
    private final ObjectNode completion;
    private final Map<Integer, Choice> choices = new TreeMap<>();
    private long contentChars;

    CompletionAssembler(ObjectMapper json) {
        this.json = json;
        this.completion = json.createObjectNode();
    }

    /** Length of the content added so far over all choices, in characters. */
    long contentChars() {
        return contentChars;
    }

    /**
     * Adds the chunk in the data of an event.
     *
     * @throws EndpointException when the chunk is not valid JSON or has a field that cannot be merged
     */
    void add(SseEvent event) {
        JsonNode chunk;
        try {
            chunk = json.readTree(event.buffer(), event.dataOffset(), event.dataLength());
        } catch (IOException e) {
            throw new EndpointException(EndpointCode.MALFORMED_ANSWER, "a chunk of the stream is not valid JSON", e);
        }
        for (Map.Entry<String, JsonNode> field : chunk.properties()) {
            if (!field.getKey().equals("choices") && !field.getValue().isNull()) {
                completion.set(field.getKey(), field.getValue());
            }
        }
        chunk.path("choices").forEach(this::addChoice);
    }

    /** The completion as JSON. */
    byte[] toBytes() {
        completion.put("object", "chat.completion");
        ArrayNode list = completion.putArray("choices");
        for (Map.Entry<Integer, Choice> entry : choices.entrySet()) {
            Choice choice = entry.getValue();
            ObjectNode node = list.addObject().put("index", entry.getKey());
            node.putObject("message").put("role", choice.role).put("content", choice.content.toString());
            node.put("finish_reason", choice.finishReason);
        }
        try {
            return json.writeValueAsBytes(completion);
        } catch (IOException e) {
            throw new EndpointException(
                    EndpointCode.MALFORMED_ANSWER, "the assembled completion cannot be written as JSON", e);
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
                        EndpointCode.MALFORMED_ANSWER,
                        "a chunk of the stream has field '" + name + "', which cannot be merged into one completion");
        }
    }

    /** A choice of the completion, built up chunk by chunk. */
    private static final class Choice {
        private final StringBuilder content = new StringBuilder();
        private String role = "assistant";
        private String finishReason;
    }
}
