package org.dragonflygw.core.dispatch;

import java.util.List;

/**
 * What is known of a request's prompt.
 *
 * @param parts its parts in order; the last belongs to the request or its chat alone
 * @param inputTokens length of the prompt
 * @param maxOutputTokens most tokens that may be generated
 */
public record Prompt(List<PromptPart> parts, int inputTokens, int maxOutputTokens) {
    /** A request without a prompt. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0);

    public Prompt {
        parts = List.copyOf(parts);
    }

    /** The parts that other requests share. */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Length of the parts that other requests share. */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    }

    /** Key of the longest part that other requests share; 0 if there is none. */
    public long sharedKey() {
        if (parts.isEmpty()) {
            return 0;
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
