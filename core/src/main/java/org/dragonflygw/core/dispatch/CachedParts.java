package org.dragonflygw.core.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What this host believes one engine keeps of the prompts sent to it: the latest parts up to a number of tokens. */
final class CachedParts {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_PARTS = 32;

    private final long capacityTokens;
    private final Map<Long, Integer> tokensByPart = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long tokens;

    CachedParts(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Tokens at the start of the prompt that need not be read again. */
    int cachedTokens(Prompt prompt) {
        int cached = 0;
        for (PromptPart p : prompt.parts()) {
            if (!tokensByPart.containsKey(p.id())) {
                break;
            }
            cached += p.tokens();
        }
        return cached;
    }

    void remember(List<PromptPart> parts) {
        for (PromptPart p : parts) {
            Integer before = tokensByPart.put(p.id(), p.tokens());
            tokens += p.tokens() - (before == null ? 0 : before);
        }
        Iterator<Integer> oldest = tokensByPart.values().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next();
            oldest.remove();
        }
    }

    void clear() {
        tokensByPart.clear();
        tokens = 0;
    }
}
