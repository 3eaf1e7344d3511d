package org.dragonflygw.core.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/** Parses the body of a chat completion request in one pass, without building a tree. Thread-safe. */
public final class ChatRequestReader {
    private static final int MAX_NAME_CHARS = 128;
    private static final int MAX_PREFIX_CHARS = 16_384;
    private static final int MAX_FIRST_MESSAGE_CHARS = 1_024;
    private static final int MAX_DEPTH = 64;
    private static final int CHARS_PER_TOKEN = 4;
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final JsonFactory json;

    /** Creates a reader for bodies of at most {@code maxBodyBytes} bytes. */
    public ChatRequestReader(int maxBodyBytes) {
        this.json = JsonFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_DEPTH)
                        .maxStringLength(maxBodyBytes)
                        .build())
                .build();
    }

    /**
     * Parses a body.
     *
     * @throws RequestException if the body is not a valid chat completion request
     */
    public ChatRequest read(byte[] body) {
        try (JsonParser parser = json.createParser(body)) {
            return readObject(parser);
        } catch (JsonProcessingException e) {
            throw invalid("body is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw invalid("body is not valid JSON");
        }
    }

    private static ChatRequest readObject(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw invalid("body must be a JSON object");
        }
        Fields fields = new Fields();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            readField(parser, name, fields);
        }
        if (parser.nextToken() != null) {
            throw invalid("body has text after the JSON object");
        }
        return fields.toRequest();
    }

    private static void readField(JsonParser parser, String name, Fields fields) throws IOException {
        switch (name) {
            case "model" -> fields.model = readName(parser, fields.markSeen(name));
            case "adapter" -> fields.adapter = readName(parser, fields.markSeen(name));
            case "stream" -> fields.stream = readFlag(parser, fields.markSeen(name));
            case "messages" -> readMessages(parser, fields.markSeen(name), fields);
            default -> parser.skipChildren();
        }
    }

    private static String readName(JsonParser parser, String field) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_STRING
                || parser.getText().isEmpty()
                || parser.getTextLength() > MAX_NAME_CHARS) {
            throw invalid("'" + field + "' must be a text of 1 to " + MAX_NAME_CHARS + " characters");
        }
        return parser.getText();
    }

    private static boolean readFlag(JsonParser parser, String field) {
        return switch (parser.currentToken()) {
            case VALUE_TRUE -> true;
            case VALUE_FALSE, VALUE_NULL -> false;
            default -> throw invalid("'" + field + "' must be true or false");
        };
    }

    private static void readMessages(JsonParser parser, String field, Fields fields) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw invalid("'" + field + "' must be an array");
        }
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                throw invalid("each of '" + field + "' must be an object");
            }
            readMessage(parser, fields);
        }
    }

    private static void readMessage(JsonParser parser, Fields fields) throws IOException {
        String role = "";
        StringBuilder start = new StringBuilder();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("role") && value == JsonToken.VALUE_STRING) {
                role = parser.getText();
            } else if (name.equals("content")) {
                fields.contentChars += readContent(parser, start);
            } else {
                parser.skipChildren();
            }
        }
        if (role.isEmpty()) {
            throw invalid("each message needs a 'role'");
        }
        fields.addMessage(role, start);
    }

    /** Reads a string or all strings in a structure; appends their start to {@code start} and returns their length. */
    private static long readContent(JsonParser parser, StringBuilder start) throws IOException {
        long chars = 0;
        int depth = 0;
        while (true) {
            JsonToken token = parser.currentToken();
            if (token == null) {
                throw invalid("body ends within a message");
            }
            if (token.isStructStart()) {
                depth++;
            } else if (token.isStructEnd()) {
                depth--;
            } else if (token == JsonToken.VALUE_STRING) {
                chars += parser.getTextLength();
                int kept = Math.min(parser.getTextLength(), MAX_PREFIX_CHARS - start.length());
                start.append(parser.getTextCharacters(), parser.getTextOffset(), kept);
            }
            if (depth == 0) {
                return chars;
            }
            parser.nextToken();
        }
    }

    private static RequestException invalid(String detail) {
        return new RequestException(RequestCode.INVALID_BODY, detail);
    }

    /** Collects the fields while the body is parsed. */
    private static final class Fields {
        private final Set<String> seen = new HashSet<>();
        private final StringBuilder prefix = new StringBuilder();
        private String model = "";
        private String adapter = "";
        private boolean stream;
        private long contentChars;
        private int messages;
        private boolean leading = true;

        private String markSeen(String name) {
            if (!seen.add(name)) {
                throw invalid("'" + name + "' is given twice");
            }
            return name;
        }

        private void addMessage(String role, StringBuilder start) {
            boolean system = role.equals("system") || role.equals("developer");
            if (leading && system) {
                append(start, MAX_PREFIX_CHARS - prefix.length());
            } else if (messages == 0) {
                append(start, MAX_FIRST_MESSAGE_CHARS);
            }
            leading = leading && system;
            messages++;
        }

        private void append(StringBuilder start, int limit) {
            prefix.append(start, 0, Math.max(0, Math.min(start.length(), limit)));
        }

        private ChatRequest toRequest() {
            if (model.isEmpty()) {
                throw invalid("'model' is required");
            }
            if (messages == 0) {
                throw invalid("'messages' must hold at least one message");
            }
            int tokens = (int) Math.min(Integer.MAX_VALUE, contentChars / CHARS_PER_TOKEN + messages);
            return new ChatRequest(model, adapter, stream, HASH.hashChars(prefix), tokens);
        }
    }
}
