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
    private final Map<Long, Entry> entries = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long tokens;

    CachedParts(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Tokens at the start of the prompt that the engine has read or will have read before it comes to this prompt. */
    int cachedTokens(Prompt prompt) {
        return cachedTokens(prompt, Long.MAX_VALUE);
    }

    /** Tokens at the start of the prompt that the engine has read by now, so that another can fetch them. */
    int cachedTokens(Prompt prompt, long nowNanos) {
        int cached = 0;
        for (PromptPart p : prompt.parts()) {
            Entry e = entries.get(p.id());
            if (e == null || e.readNanos > nowNanos) {
                break;
            }
            cached += p.tokens();
        }
        return cached;
    }

    /**
     * Notes parts that were sent to the engine.
     *
     * @param readNanos when they will have been read
     */
    void add(List<PromptPart> parts, long readNanos) {
        for (PromptPart p : parts) {
            Entry before = entries.get(p.id());
            if (before == null) {
                entries.put(p.id(), new Entry(p.tokens(), readNanos));
                tokens += p.tokens();
            }
        }
        Iterator<Entry> oldest = entries.values().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().tokens;
            oldest.remove();
        }
    }

    private record Entry(int tokens, long readNanos) {}
}
