package org.dragonflygw.bench.policy;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;

/**
 * A model engine reduced to what the policies are measured by: a batch of bounded size, one prefill at a time, tokens
 * that come slower in a larger batch, and a prefix cache of bounded size.
 */
final class FakeEngine {
    static final int MAX_BATCH = 16;
    private static final double PREFILL_TOKENS_PER_MILLI = 10;
    private static final double GAP_MILLIS = 25;
    private static final double GAP_MILLIS_PER_REQUEST = 1;
    private static final long DOCUMENT_KEY = 1L << 60;

    private final String id;
    private final int cacheTokens;
    private final LinkedHashMap<Long, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    private int cachedTokens;
    private int running;
    private double prefillFreeAt;
    private boolean leaving;
    private long downUntil;
    private boolean failing;

    FakeEngine(String id, int cacheTokens) {
        this.id = id;
        this.cacheTokens = cacheTokens;
    }

    String id() {
        return id;
    }

    Endpoint endpoint() {
        EndpointState state = leaving ? EndpointState.LEAVING : EndpointState.LIVE;
        return new Endpoint(id, "pool", "127.0.0.1", 1, "a", "r", 1, state);
    }

    int inFlight() {
        return running + waiting.size();
    }

    ArrayDeque<Attempt> waiting() {
        return waiting;
    }

    boolean hasRoom() {
        return running < MAX_BATCH;
    }

    boolean isLeaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
    }

    boolean isFailing() {
        return failing;
    }

    void setFailing(boolean nowFailing) {
        failing = nowFailing;
    }

    boolean isDown(long now) {
        return now < downUntil;
    }

    void crash(long until) {
        downUntil = until;
        cache.clear();
        cachedTokens = 0;
        running = 0;
        waiting.clear();
        prefillFreeAt = 0;
    }

    /** Tokens of the prompt that the cache holds. */
    int cached(Arrival arrival) {
        if (cache.containsKey(arrival.chat())) {
            return arrival.documentTokens() + arrival.historyTokens();
        }
        return cache.containsKey(DOCUMENT_KEY + arrival.document()) ? arrival.documentTokens() : 0;
    }

    /** Starts a request; sets its times and what was reused. */
    void start(Attempt attempt, long now) {
        Arrival arrival = attempt.arrival();
        running++;
        int reused = cached(arrival);
        double prefill = (arrival.promptTokens() - reused) / PREFILL_TOKENS_PER_MILLI;
        prefillFreeAt = Math.max((double) now, prefillFreeAt) + prefill;
        double gap = GAP_MILLIS + GAP_MILLIS_PER_REQUEST * running;
        attempt.started(reused, (long) (prefillFreeAt + gap), (long) (prefillFreeAt + gap * arrival.outputTokens()));
        store(DOCUMENT_KEY + arrival.document(), arrival.documentTokens());
        store(arrival.chat(), arrival.historyTokens() + arrival.newTokens() + arrival.outputTokens());
    }

    void finish() {
        running--;
    }

    private void store(long key, int tokens) {
        Integer before = cache.put(key, tokens);
        cachedTokens += tokens - (before == null ? 0 : before);
        Iterator<Map.Entry<Long, Integer>> eldest = cache.entrySet().iterator();
        while (cachedTokens > cacheTokens && eldest.hasNext()) {
            cachedTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
