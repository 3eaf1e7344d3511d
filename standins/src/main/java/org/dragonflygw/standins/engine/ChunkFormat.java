package org.dragonflygw.standins.engine;

import java.nio.charset.StandardCharsets;
import org.dragonflygw.standins.http.Json;

/** Formats the tokens of one request as server-sent events with chat completion chunks. */
final class ChunkFormat {
    /** Event that ends a complete stream. */
    static final String DONE = "data: [DONE]\n\n";

    private final EngineStream stream;
    private final String prefix;

    ChunkFormat(EngineStream stream) {
        this.stream = stream;
        RunRequest request = stream.request();
        this.prefix = "data: {\"id\":" + quoted(request.requestId())
                + ",\"object\":\"chat.completion.chunk\",\"model\":" + quoted(request.model())
                + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
    }

    /** Appends the event for the token at the given index. */
    void append(StringBuilder out, int index) {
        ResponseText answer = stream.request().answer();
        boolean last = index == answer.tokens() - 1;
        out.append("id: ").append(index).append('\n').append(prefix);
        out.append(answer.token(index)).append("\"},\"finish_reason\":");
        out.append(last ? "\"stop\"" : "null").append("}]}\n\n");
    }

    private static String quoted(String text) {
        return new String(Json.write(text), StandardCharsets.UTF_8);
    }
}
