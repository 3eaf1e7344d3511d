package org.dragonflygw.cli.logs;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/**
 * One JSON log line of a router process.
 *
 * @param time time of logging, by the clock of the host
 * @param host host of the process
 * @param topic kind of decision or event that the line records
 * @param fields all fields of the line, including the three above
 */
public record LogEntry(Instant time, String host, String topic, JsonNode fields) {
    /** A field as text; empty if the field is missing. */
    public String text(String field) {
        return fields.path(field).asText("");
    }

    /** A field as integer; 0 if the field is missing or not a number. */
    public long number(String field) {
        return fields.path(field).asLong(0);
    }

    /** Whether the line is about the request with this id. */
    public boolean isAbout(String requestId) {
        return text("request").equals(requestId);
    }
}
