package org.dragonflygw.bench.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Builds and reads server-sent events in the format of the engines. */
final class SseChunks {
    private static final String CONTENT = "\"content\":\"";

    private SseChunks() {}

    /** Returns the event of the token at the index; the last token has the finish reason {@code stop}. */
    static byte[] tokenEvent(String request, int index, List<String> tokens) {
        String finish = index == tokens.size() - 1 ? "\"stop\"" : "null";
        String event = "id: " + index + "\ndata: {\"id\":\"" + request + "\",\"choices\":[{\"delta\":{" + CONTENT
                + tokens.get(index) + "\"},\"finish_reason\":" + finish + "}]}\n\n";
        return event.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the event that ends a stream. */
    static byte[] doneEvent() {
        return "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the token in the data of an event. */
    static String content(String data) {
        int from = data.indexOf(CONTENT) + CONTENT.length();
        return data.substring(from, data.indexOf('"', from));
    }

    /** Returns the token in the bytes of one event; empty for the event that ends a stream. */
    static String text(byte[] event) {
        String text = new String(event, StandardCharsets.UTF_8);
        return text.contains(CONTENT) ? content(text) : "";
    }
}
