package org.dragonflygw.core.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Model of one engine's prompt cache as this host estimates it: the most recently used prompt parts, up to a capacity
 * in tokens. Not thread-safe.
 */
final class CachedParts {
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 32;

    private final LongSupplier capacityTokens;
    private final Map<Long, Entry> entries = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private long tokens;

    CachedParts(LongSupplier capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Returns the length of the cached prefix of a prompt in tokens, including parts that the engine will have read by
     * the time it reads this prompt.
     */
    int cachedTokens(Prompt prompt) {
        return cachedTokens(prompt, Long.MAX_VALUE);
    }

    /**
     * Returns the length of the prefix of a prompt that the engine has read by {@code nowNanos}, in tokens. Another
     * engine can fetch this prefix.
     */
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
     * Adds parts that were sent to the engine and evicts the least recently used parts beyond the capacity.
     *
     * @param readNanos monotonic time at which the engine will have read the parts, in nanoseconds
     */
    void add(List<PromptPart> parts, long readNanos) {
        for (PromptPart p : parts) {
            Entry existing = entries.get(p.id());
            if (existing == null) {
                entries.put(p.id(), new Entry(p.tokens(), readNanos));
                tokens += p.tokens();
            }
        }
        long capacity = capacityTokens.getAsLong();
        Iterator<Entry> oldest = entries.values().iterator();
        while (tokens > capacity && oldest.hasNext()) {
            tokens -= oldest.next().tokens;
            oldest.remove();
        }
    }

    private record Entry(int tokens, long readNanos) {}
}
