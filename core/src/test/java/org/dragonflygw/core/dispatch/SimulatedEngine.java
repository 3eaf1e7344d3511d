package org.dragonflygw.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/** An engine on virtual time: slots, one queue for reading prompts, a step time that grows with the load, a cache. */
final class SimulatedEngine {
    private static final int SLOTS = 16;
    private static final long MEMORY_TOKENS = 414_661;
    private static final double READ_TOKENS_PER_MS = 61.2;
    private static final double MIN_STEP_MS = 3.37;
    private static final double STEP_MS_PER_REQUEST = 0.3;
    private static final double FETCH_SETUP_MS = 8;
    private static final double FETCH_TOKENS_PER_MS = 500;

    private final CachedParts cache = new CachedParts(() -> MEMORY_TOKENS);
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private final double speed;
    private int running;
    private double readEndMs;

    /** Creates an engine with a speed, which is 1 for the usual one. */
    SimulatedEngine(double speed) {
        this.speed = speed;
    }

    int load() {
        return running + waiting.size();
    }

    int queued() {
        return waiting.size();
    }

    LoadReport report() {
        return new LoadReport(running, waiting.size(), SLOTS);
    }

    /** Runs a task as soon as a slot is free. */
    void enter(Runnable task) {
        if (running >= SLOTS) {
            waiting.add(task);
            return;
        }
        running++;
        task.run();
    }

    void leave() {
        running--;
        if (!waiting.isEmpty()) {
            running++;
            waiting.remove().run();
        }
    }

    int cachedTokens(Prompt prompt) {
        return cache.cachedTokens(prompt);
    }

    /** Reads a prompt and returns the time of the first token. */
    double read(Prompt prompt, int fetchedTokens, double nowMs) {
        int cached = cache.cachedTokens(prompt);
        cache.add(prompt.parts(), 0);
        int fetched = Math.max(0, fetchedTokens - cached);
        double fetchMs = fetched > 0 ? FETCH_SETUP_MS + fetched / FETCH_TOKENS_PER_MS : 0;
        double tokens = prompt.inputTokens() - Math.max(cached, fetchedTokens);
        readEndMs = Math.max(readEndMs, nowMs + fetchMs) + tokens / (READ_TOKENS_PER_MS * speed);
        return readEndMs + stepMs();
    }

    double stepMs() {
        return (MIN_STEP_MS + STEP_MS_PER_REQUEST * running) / speed;
    }
}
