package org.dragonflygw.core.stream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Checks that the events of one streamed response belong to its request and arrive complete, in order and exactly once.
 * One check is kept over all connections of the response, so that a resumed stream is checked against the events that
 * were already sent to the caller. Not thread-safe.
 */
public final class StreamCheck {
    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] FINISH_REASON = "\"finish_reason\"".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NULL = "null".getBytes(StandardCharsets.US_ASCII);

    private final String requestId;
    private final byte[] expectedPrefix;
    private long nextSequence;
    private boolean finished;
    private boolean done;

    /** Creates a check of the response to the request with the given id. */
    public StreamCheck(String requestId) {
        this.requestId = requestId;
        this.expectedPrefix = ("{\"id\":\"" + requestId + "\"").getBytes(StandardCharsets.UTF_8);
    }

    /** Sequence number of the next token, which is the number of tokens accepted so far. */
    public long nextSequence() {
        return nextSequence;
    }

    /** Whether the response is complete: all tokens, a finish reason and the end marker {@code [DONE]} arrived. */
    public boolean isComplete() {
        return done;
    }

    /** Checks the next event. After {@link Verdict#RELAY} the following token is expected. */
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
        if (startsWith(event, expectedPrefix)) {
            return Verdict.RELAY;
        }
        try (JsonParser parser = JSON.createParser(event.buffer(), event.dataOffset(), event.dataLength())) {
            return parseOwner(parser);
        } catch (IOException e) {
            return Verdict.MALFORMED;
        }
    }

    private Verdict parseOwner(JsonParser parser) throws IOException {
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
