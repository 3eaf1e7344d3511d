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
 * Reads log files line by line, since a file can be larger than memory. Text before the JSON of a line, as log
 * collectors add it, is skipped; other lines are skipped and counted.
 */
public final class LogReader {
    private final ObjectMapper json;
    private long unreadableLines;

    public LogReader(ObjectMapper json) {
        this.json = json;
    }

    /**
     * Passes all log lines of a file, in file order, to the consumer.
     *
     * @throws CliException when the file cannot be read
     */
    public void read(Path file, Consumer<LogEntry> consumer) {
        try (BufferedReader in = Files.newBufferedReader(file, StandardCharsets.ISO_8859_1);
                Stream<String> lines = in.lines()) {
            lines.forEach(line -> handleLine(line, consumer));
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot read log file " + file, e);
        }
    }

    /** Number of lines that were skipped in all files read so far. */
    public long unreadableLines() {
        return unreadableLines;
    }

    private void handleLine(String line, Consumer<LogEntry> consumer) {
        Optional<LogEntry> entry = parse(line);
        if (entry.isEmpty()) {
            unreadableLines++;
        }
        entry.ifPresent(consumer);
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
            return Optional.empty(); // The caller counts the line.
        }
    }
}
