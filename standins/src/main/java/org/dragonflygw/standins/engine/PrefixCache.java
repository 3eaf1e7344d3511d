package org.dragonflygw.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** LRU cache of prompt prefixes, limited by their tokens. Guarded by the lock of {@link EngineCore}. */
final class PrefixCache {
    private final long capacityTokens;
    private final CacheEventLog events;
    private final LinkedHashMap<String, Long> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private long usedTokens;

    PrefixCache(long capacityTokens, CacheEventLog events) {
        this.capacityTokens = capacityTokens;
        this.events = events;
    }

    /** Returns the number of cached prompt tokens; stores the prefix when it is not cached yet. */
    long lookUpOrStore(String prefix, long promptTokens) {
        if (prefix.isEmpty()) {
            return 0;
        }
        Long cached = tokensByPrefix.get(prefix);
        if (cached == null) {
            store(prefix, promptTokens);
            return 0;
        }
        return Math.min(cached, promptTokens);
    }

    /** Stores a prefix and evicts old ones; ignores a prefix above the capacity. */
    void store(String prefix, long tokens) {
        if (tokens > capacityTokens) {
            return;
        }
        Long before = tokensByPrefix.put(prefix, tokens);
        usedTokens += tokens - (before == null ? 0 : before);
        events.add(CacheEvent.STORED, prefix);
        evict();
    }

    /** Returns the length of a cached prefix in tokens, or empty when the prefix is not cached. */
    OptionalLong tokens(String prefix) {
        Long tokens = tokensByPrefix.get(prefix);
        return tokens == null ? OptionalLong.empty() : OptionalLong.of(tokens);
    }

    void clear() {
        tokensByPrefix.clear();
        usedTokens = 0;
    }

    private void evict() {
        Iterator<Map.Entry<String, Long>> oldest = tokensByPrefix.entrySet().iterator();
        while (usedTokens > capacityTokens) {
            Map.Entry<String, Long> entry = oldest.next();
            usedTokens -= entry.getValue();
            events.add(CacheEvent.EVICTED, entry.getKey());
            oldest.remove();
        }
    }
}
