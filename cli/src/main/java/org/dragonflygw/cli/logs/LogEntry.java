package org.dragonflygw.cli.logs;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/**
 * One line that a router process logged.
 *
 * @param time when it was logged, by the clock of its host
 * @param host host that logged it
 * @param topic kind of decision or event
 * @param fields all fields of the line
 */
public record LogEntry(Instant time, String host, String topic, JsonNode fields) {
    /** Text of a field, empty if there is none. */
    public String text(String field) {
        return fields.path(field).asText("");
    }

    /** Number in a field, 0 if there is none. */
    public long number(String field) {
        return fields.path(field).asLong(0);
    }

    /** Whether the line is about a request. */
    public boolean isAbout(String request) {
        return text("request").equals(request);
    }
}
