package org.dragonflygw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;
import org.dragonflygw.standins.http.Json;

/**
 * The deterministic response of every engine to a request. Token i depends only on the messages of the request and on
 * i, so that a caller can verify that a complete response belongs to its own request.
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

    /** Returns the response to a chat completion request with the given JSON body. */
    public static ResponseText ofBody(byte[] body) {
        return ofRequest(Json.tree(body));
    }

    /** Returns the response to a parsed chat completion request. */
    public static ResponseText ofRequest(JsonNode request) {
        byte[] messages = request.path("messages").toString().getBytes(StandardCharsets.UTF_8);
        int maxTokens = request.path("max_tokens").asInt(DEFAULT_TOKENS);
        return new ResponseText(HASH.hashBytes(messages), Math.max(1, Math.min(MAX_TOKENS, maxTokens)));
    }

    /** Returns the number of tokens. */
    public int tokens() {
        return tokens;
    }

    /** Returns the token at an index from 0: a word and a trailing space. */
    public String token(int index) {
        long mixed = HASH.hashLong(seed + GOLDEN_RATIO * index);
        return Integer.toString((int) (mixed & 0xFFFFFF), RADIX) + " ";
    }

    /** Returns all tokens, concatenated. */
    public String fullText() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(i));
        }
        return text.toString();
    }
}
