package org.dragonflygw.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.cli.logs.LikelyCause;
import org.dragonflygw.cli.logs.LogEntry;
import org.dragonflygw.cli.logs.RequestHistory;

/** Prints what logs say about a request. */
final class RequestHistoryPrinter {
    private static final Set<String> FIELDS_PRINTED_SEPARATELY = Set.of("time", "host", "topic", "request");

    private RequestHistoryPrinter() {}

    static void print(Output output, String request, RequestHistory story) {
        if (output.format() == OutputFormat.JSON) {
            output.json(story.requestLines().stream().map(LogEntry::fields).toList());
            return;
        }
        output.line("request " + request);
        story.requestLines().forEach(e -> output.line("  " + text(e)));
        output.line("its hosts before");
        story.hostLines().forEach(e -> output.line("  " + text(e)));
        for (String endpoint : story.endpoints()) {
            output.line("endpoint " + endpoint + " within 2 s: "
                    + story.otherFailedAttempts(endpoint).size() + " other attempts failed, "
                    + story.otherSuccesses(endpoint).size() + " requests ended well");
            story.endpointChanges(endpoint).forEach(e -> output.line("  " + text(e)));
        }
        output.line("likely cause: " + LikelyCause.describe(story));
    }

    private static String text(LogEntry entry) {
        StringBuilder text = new StringBuilder();
        text.append(entry.time()).append(' ').append(entry.host()).append(' ').append(entry.topic());
        for (Map.Entry<String, JsonNode> f : entry.fields().properties()) {
            if (!FIELDS_PRINTED_SEPARATELY.contains(f.getKey())) {
                text.append(' ')
                        .append(f.getKey())
                        .append('=')
                        .append(f.getValue().asText());
            }
        }
        return text.toString();
    }
}
