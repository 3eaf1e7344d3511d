package org.dragonflygw.cli.logs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.dragonflygw.cli.CliException;
import org.dragonflygw.cli.ExitCode;

/**
 * Reads files of log lines one line at a time, since they can be larger than memory. Text before the line's JSON, as log
 * collectors add it, is passed over; lines that are no log lines are counted.
 */
public final class LogReader {
    private final ObjectMapper json;
    private long unreadableLines;

    /** Makes a reader. */
    public LogReader(ObjectMapper json) {
        this.json = json;
    }

    /** Reads all lines of a file in their order. */
    public void read(Path file, Consumer<LogEntry> taker) {
        try (BufferedReader in = Files.newBufferedReader(file, StandardCharsets.ISO_8859_1);
                Stream<String> lines = in.lines()) {
            lines.forEach(line -> handleLine(line, taker));
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot read " + file, e);
        }
    }

    /** Lines that were passed over since the start. */
    public long unreadableLines() {
        return unreadableLines;
    }

    private void handleLine(String line, Consumer<LogEntry> taker) {
        Optional<LogEntry> entry = parse(line);
        if (entry.isEmpty()) {
            unreadableLines++;
        }
        entry.ifPresent(taker);
    }

    private Optional<LogEntry> parse(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode n = json.readTree(line.substring(start));
            Instant time = Instant.parse(n.path("time").asText());
            return Optional.of(
                    new LogEntry(time, n.path("host").asText(), n.path("topic").asText(), n));
        } catch (JsonProcessingException | DateTimeParseException e) {
            return Optional.empty(); // Counted by the caller.
        }
    }
}
