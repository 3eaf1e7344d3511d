package org.dragonflygw.standins.engine;

import java.util.List;
import org.dragonflygw.standins.http.Exchange;

/** Sends the complete response to a non-streaming request once all tokens are generated. */
final class NonStreamingSender implements ResponseSender {
    private static final int UNAVAILABLE = 503;

    private final EngineStream stream;
    private final Exchange exchange;
    private final ConnectionState connection;

    NonStreamingSender(EngineStream stream, Exchange exchange, ConnectionState connection) {
        this.stream = stream;
        this.exchange = exchange;
        this.connection = connection;
    }

    @Override
    public void onProgress() {
        if (connection.silent()) {
            return;
        }
        if (stream.cancelled()) {
            exchange.error(UNAVAILABLE, "CANCELLED");
            return;
        }
        if (stream.finished()) {
            exchange.json(200, completion(stream.request()));
        }
    }

    private static Completion completion(RunRequest request) {
        String text = request.answer().fullText();
        int tokens = request.answer().tokens();
        Usage usage = new Usage(request.promptTokens(), tokens, request.promptTokens() + tokens);
        Choice choice = new Choice(0, new Message("assistant", text), "stop");
        return new Completion(request.requestId(), "chat.completion", request.model(), List.of(choice), usage);
    }

    private record Completion(String id, String object, String model, List<Choice> choices, Usage usage) {}

    @SuppressWarnings("checkstyle:RecordComponentName")
    private record Choice(int index, Message message, String finish_reason) {}

    private record Message(String role, String content) {}

    private record Usage(long prompt_tokens, long completion_tokens, long total_tokens) {}
}
