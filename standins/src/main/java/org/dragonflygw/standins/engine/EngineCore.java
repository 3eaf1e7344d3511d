package org.dragonflygw.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/**
 * Simulates continuous batching, without threads or sockets. Streams wait in order of priority and are prefilled one
 * after the other. A running stream then gets one token per token gap, which grows with the batch size. Thread-safe;
 * while the lock is held, the only foreign code called is the {@link CacheEventLog}.
 */
final class EngineCore {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final EngineConfig config;
    private final PrefixCache cache;
    private final Map<String, EngineStream> streams = new HashMap<>();
    private final LinkedHashMap<String, EngineStream> ended = new LinkedHashMap<>();
    private final PriorityQueue<EngineStream> waiting = new PriorityQueue<>(
            Comparator.comparingInt((EngineStream stream) -> -stream.request().priority())
                    .thenComparingLong(EngineStream::arrival));
    private final PriorityQueue<EngineStream> running =
            new PriorityQueue<>(Comparator.comparingLong(EngineStream::dueNanos));
    private long arrivals;
    private long prefillFreeNanos;

    EngineCore(EngineConfig config, CacheEventLog events) {
        this.config = config;
        this.cache = new PrefixCache(config.cacheTokens(), events);
    }

    /** Adds a request; a stream with the same request id is cancelled first. */
    synchronized EngineStream submit(RunRequest request, long nowNanos) {
        cancel(request.requestId(), nowNanos);
        ended.remove(request.requestId());
        EngineStream stream = new EngineStream(request, arrivals++, nowNanos);
        streams.put(request.requestId(), stream);
        waiting.add(stream);
        admit(nowNanos);
        return stream;
    }

    /** Finds a stream that waits, runs or ended within the resume time. */
    synchronized Optional<EngineStream> find(String requestId, long nowNanos) {
        removeExpired(nowNanos);
        EngineStream stream = streams.get(requestId);
        return Optional.ofNullable(stream == null ? ended.get(requestId) : stream);
    }

    /** Cancels a stream; does nothing when the request id is unknown. */
    synchronized void cancel(String requestId, long nowNanos) {
        EngineStream stream = streams.remove(requestId);
        if (stream == null) {
            return;
        }
        stream.cancel();
        if (!waiting.remove(stream)) {
            running.remove(stream);
        }
        admit(nowNanos);
    }

    /** Generates the due tokens and returns the streams that advanced or were cancelled as abandoned. */
    synchronized List<EngineStream> advance(long nowNanos) {
        List<EngineStream> progressed = new ArrayList<>();
        while (!running.isEmpty() && running.peek().dueNanos() <= nowNanos) {
            EngineStream stream = running.poll();
            step(stream, nowNanos);
            progressed.add(stream);
        }
        return progressed;
    }

    /** Returns the time of the next token, or empty when no stream runs. */
    synchronized OptionalLong nextDueNanos() {
        return running.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(running.peek().dueNanos());
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized int waitingCount() {
        return waiting.size();
    }

    /** Returns the expected wait of a new request before its prefill, in milliseconds. */
    synchronized long waitMillis(long nowNanos) {
        long prefill = Math.max(0, prefillFreeNanos - nowNanos);
        long slots = waiting.size() * config.tokenGapNanos(config.maxBatch());
        return (prefill + slots) / NANOS_PER_MILLI;
    }

    /** Returns the tokens generated per second at the current batch size. */
    synchronized long tokensPerSecond() {
        int batch = running.size();
        return batch * NANOS_PER_SECOND / config.tokenGapNanos(batch);
    }

    synchronized OptionalLong cachedTokens(String prefix) {
        return cache.tokens(prefix);
    }

    synchronized void storePrefix(String prefix, long tokens) {
        cache.store(prefix, tokens);
    }

    /** Cancels all streams and clears all state, as a restart does. */
    synchronized void reset() {
        streams.values().forEach(EngineStream::cancel);
        streams.clear();
        ended.clear();
        waiting.clear();
        running.clear();
        cache.clear();
        prefillFreeNanos = 0;
    }

    private void step(EngineStream stream, long nowNanos) {
        if (abandoned(stream, nowNanos)) {
            streams.remove(stream.request().requestId());
            stream.cancel();
            admit(nowNanos);
            return;
        }
        stream.emit();
        if (stream.finished()) {
            end(stream, nowNanos);
            return;
        }
        stream.setDueNanos(stream.dueNanos() + config.tokenGapNanos(running.size() + 1));
        running.add(stream);
    }

    private boolean abandoned(EngineStream stream, long nowNanos) {
        if (stream.attached()) {
            stream.markActive(nowNanos);
            return false;
        }
        return nowNanos - stream.lastActiveNanos() > config.resumeMillis() * NANOS_PER_MILLI;
    }

    private void end(EngineStream stream, long nowNanos) {
        streams.remove(stream.request().requestId());
        stream.markActive(nowNanos);
        ended.put(stream.request().requestId(), stream);
        removeExpired(nowNanos);
        admit(nowNanos);
    }

    private void removeExpired(long nowNanos) {
        Iterator<EngineStream> oldest = ended.values().iterator();
        while (oldest.hasNext()
                && nowNanos - oldest.next().lastActiveNanos() > config.resumeMillis() * NANOS_PER_MILLI) {
            oldest.remove();
        }
    }

    private void admit(long nowNanos) {
        while (running.size() < config.maxBatch() && !waiting.isEmpty()) {
            EngineStream stream = waiting.poll();
            RunRequest request = stream.request();
            long cached = cache.lookUpOrStore(request.prefix(), request.promptTokens());
            long prefill = config.prefillNanos(request.promptTokens() - cached);
            prefillFreeNanos = Math.max(nowNanos, prefillFreeNanos) + prefill;
            stream.setDueNanos(prefillFreeNanos + config.tokenGapNanos(running.size() + 1));
            running.add(stream);
        }
    }
}
