package org.dragonflygw.core.dispatch;

import java.util.List;

/**
 * The description of a request's prompt.
 *
 * @param parts parts of the prompt, in order; the last one is specific to the request or its chat
 * @param inputTokens length of the prompt, in tokens
 * @param maxOutputTokens largest number of tokens to generate
 */
public record Prompt(List<PromptPart> parts, int inputTokens, int maxOutputTokens) {
    /** The prompt of a request without prompt information. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0);

    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the parts that other requests may share. */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns the ids of the parts that other requests may share. */
    public List<Long> sharedPartIds() {
        return sharedParts().stream().map(PromptPart::id).toList();
    }

    /** Returns the total length of the shared parts, in tokens. */
    public int sharedTokens() {
        int tokens = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            tokens += parts.get(i).tokens();
        }
        return tokens;
    }

    /** Returns the id of the last shared part, which identifies the shared prefix; 0 if there are no parts. */
    public long sharedKey() {
        if (parts.isEmpty()) {
            return 0;
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
