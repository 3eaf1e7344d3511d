package org.dragonflygw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;
import org.dragonflygw.standins.http.Json;

/**
 * The answer that every engine gives to a request: token i depends on the messages of the request and on i alone, so
 * that a caller can check that a whole answer is its own.
 */
public final class ResponseText {
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final int DEFAULT_TOKENS = 32;
    private static final int MAX_TOKENS = 1_000_000;
    private static final int RADIX = 36;
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    private final long seed;
    private final int tokens;

    private ResponseText(long seed, int tokens) {
        this.seed = seed;
        this.tokens = tokens;
    }

    /** The answer to a chat completion request with the given body. */
    public static ResponseText ofBody(byte[] body) {
        return ofRequest(Json.tree(body));
    }

    /** The answer to a chat completion request. */
    public static ResponseText ofRequest(JsonNode request) {
        byte[] messages = request.path("messages").toString().getBytes(StandardCharsets.UTF_8);
        int wanted = request.path("max_tokens").asInt(DEFAULT_TOKENS);
        return new ResponseText(HASH.hashBytes(messages), Math.max(1, Math.min(MAX_TOKENS, wanted)));
    }

    /** Number of tokens. */
    public int tokens() {
        return tokens;
    }

    /** One token, a word and a space. */
    public String token(int index) {
        long mixed = HASH.hashLong(seed + GOLDEN_RATIO * index);
        return Integer.toString((int) (mixed & 0xFFFFFF), RADIX) + " ";
    }

    /** All tokens. */
    public String fullText() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(i));
        }
        return text.toString();
    }
}
