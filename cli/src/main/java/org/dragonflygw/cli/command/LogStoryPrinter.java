package org.dragonflygw.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.cli.logs.LikelyCause;
import org.dragonflygw.cli.logs.LogEntry;
import org.dragonflygw.cli.logs.RequestStory;

/** Prints what logs say about a request. */
final class LogStoryPrinter {
    private static final Set<String> OWN_COLUMNS = Set.of("time", "host", "topic", "request");

    private LogStoryPrinter() {}

    static void print(Output output, String request, RequestStory story) {
        if (output.format() == OutputFormat.JSON) {
            output.json(story.own().stream().map(LogEntry::fields).toList());
            return;
        }
        output.line("request " + request);
        story.own().forEach(e -> output.line("  " + text(e)));
        output.line("its hosts before");
        story.hostContext().forEach(e -> output.line("  " + text(e)));
        for (String endpoint : story.endpoints()) {
            output.line("endpoint " + endpoint + " within 2 s: "
                    + story.otherFailuresAt(endpoint).size() + " other attempts failed, "
                    + story.otherSuccessesAt(endpoint).size() + " requests ended well");
            story.changesOf(endpoint).forEach(e -> output.line("  " + text(e)));
        }
        output.line("likely cause: " + LikelyCause.of(story));
    }

    private static String text(LogEntry entry) {
        StringBuilder text = new StringBuilder();
        text.append(entry.time()).append(' ').append(entry.host()).append(' ').append(entry.topic());
        for (Map.Entry<String, JsonNode> f : entry.fields().properties()) {
            if (!OWN_COLUMNS.contains(f.getKey())) {
                text.append(' ')
                        .append(f.getKey())
                        .append('=')
                        .append(f.getValue().asText());
            }
        }
        return text.toString();
    }
}
