package org.dragonflygw.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.cli.logs.LikelyCause;
import org.dragonflygw.cli.logs.LogEntry;
import org.dragonflygw.cli.logs.RequestHistory;

/** Prints the {@link RequestHistory} of a request and the likely cause; JSON has the lines of the request only. */
final class RequestHistoryPrinter {
    /** Fields left out of the name=value pairs, since they are printed before the pairs or in the first line. */
    private static final Set<String> FIELDS_PRINTED_SEPARATELY = Set.of("time", "host", "topic", "request");

    private RequestHistoryPrinter() {}

    static void print(Output output, String request, RequestHistory history) {
        if (output.format() == OutputFormat.JSON) {
            output.json(history.requestLines().stream().map(LogEntry::fields).toList());
            return;
        }
        output.line("request " + request);
        history.requestLines().forEach(e -> output.line("  " + text(e)));
        output.line("its hosts before");
        history.hostLines().forEach(e -> output.line("  " + text(e)));
        for (String endpoint : history.endpoints()) {
            output.line("endpoint " + endpoint + " within 2 s: "
                    + history.otherFailedAttempts(endpoint).size() + " other attempts failed, "
                    + history.otherSuccesses(endpoint).size() + " requests ended well");
            history.endpointChanges(endpoint).forEach(e -> output.line("  " + text(e)));
        }
        output.line("likely cause: " + LikelyCause.describe(history));
    }

    private static String text(LogEntry entry) {
        StringBuilder text = new StringBuilder();
        text.append(entry.time()).append(' ').append(entry.host()).append(' ').append(entry.topic());
        for (Map.Entry<String, JsonNode> field : entry.fields().properties()) {
            if (!FIELDS_PRINTED_SEPARATELY.contains(field.getKey())) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        return text.toString();
    }
}
