package org.dragonflygw.core.stream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Checks that the events of one answer belong to its request and come whole, in order and once. It survives a change of
 * connection, so that a resumed stream is checked against what was sent before. For one thread.
 */
public final class StreamCheck {
    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] FINISH_REASON = "\"finish_reason\"".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NULL = "null".getBytes(StandardCharsets.US_ASCII);

    private final String requestId;
    private final byte[] usualStart;
    private long nextSequence;
    private boolean finished;
    private boolean done;

    /** Creates a check of the answer to a request. */
    public StreamCheck(String requestId) {
        this.requestId = requestId;
        this.usualStart = ("{\"id\":\"" + requestId + "\"").getBytes(StandardCharsets.UTF_8);
    }

    /** Sequence number of the next token: how many tokens were accepted. */
    public long nextSequence() {
        return nextSequence;
    }

    /** Whether the answer is whole: every token, a finish reason and the end mark came. */
    public boolean isComplete() {
        return done;
    }

    /** Checks an event; after {@link Verdict#RELAY} the next token is expected. */
    public Verdict accept(SseEvent event) {
        if (event.named()) {
            return Verdict.ENGINE_ERROR;
        }
        if (event.dataLength() == 0) {
            return Verdict.EMPTY;
        }
        if (isDone(event)) {
            done = finished;
            return finished ? Verdict.DONE : Verdict.EARLY_DONE;
        }
        Verdict owner = checkOwner(event);
        if (owner != Verdict.RELAY) {
            return owner;
        }
        return checkSequence(event);
    }

    private Verdict checkSequence(SseEvent event) {
        if (event.sequence() == SseEvent.NO_SEQUENCE) {
            return Verdict.MALFORMED;
        }
        if (event.sequence() < nextSequence) {
            return Verdict.DUPLICATE;
        }
        if (event.sequence() > nextSequence) {
            return Verdict.GAP;
        }
        nextSequence++;
        finished = finished || hasFinishReason(event);
        return Verdict.RELAY;
    }

    private static boolean isDone(SseEvent event) {
        int from = event.dataOffset();
        return event.dataLength() == DONE.length
                && Arrays.equals(event.buffer(), from, from + DONE.length, DONE, 0, DONE.length);
    }

    private Verdict checkOwner(SseEvent event) {
        if (startsWith(event, usualStart)) {
            return Verdict.RELAY;
        }
        try (JsonParser parser = JSON.createParser(event.buffer(), event.dataOffset(), event.dataLength())) {
            return parsedOwner(parser);
        } catch (IOException e) {
            return Verdict.MALFORMED;
        }
    }

    private Verdict parsedOwner(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            return Verdict.MALFORMED;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (!name.equals("id")) {
                parser.skipChildren();
            } else if (value == JsonToken.VALUE_STRING) {
                return parser.getText().equals(requestId) ? Verdict.RELAY : Verdict.FOREIGN;
            } else {
                return Verdict.MALFORMED;
            }
        }
        return Verdict.MALFORMED;
    }

    private static boolean startsWith(SseEvent event, byte[] prefix) {
        int from = event.dataOffset();
        return event.dataLength() >= prefix.length
                && Arrays.equals(event.buffer(), from, from + prefix.length, prefix, 0, prefix.length);
    }

    private static boolean hasFinishReason(SseEvent event) {
        byte[] bytes = event.buffer();
        int to = event.dataOffset() + event.dataLength();
        int last = to - FINISH_REASON.length;
        for (int i = event.dataOffset(); i <= last; i++) {
            if (bytes[i] == '"'
                    && Arrays.equals(bytes, i, i + FINISH_REASON.length, FINISH_REASON, 0, FINISH_REASON.length)) {
                int value = skipSpace(bytes, i + FINISH_REASON.length, to);
                if (value < to && bytes[value] == ':') {
                    value = skipSpace(bytes, value + 1, to);
                    return !Arrays.equals(bytes, value, Math.min(to, value + NULL.length), NULL, 0, NULL.length);
                }
            }
        }
        return false;
    }

    private static int skipSpace(byte[] bytes, int from, int to) {
        int i = from;
        while (i < to && (bytes[i] == ' ' || bytes[i] == '\t')) {
            i++;
        }
        return i;
    }
}
