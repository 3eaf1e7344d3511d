package org.dragonflygw.core.limits;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Start-time fair queue over teams. Each team is served in the order of arrival; between teams the head with the
 * smallest virtual start time goes first, so that each gets its weighted share of the slots. The queue is bounded:
 * when it is full, the newest item of the team that holds most for its weight makes room. Not thread safe; the owner
 * guards it.
 *
 * @param <T> queued item
 */
public final class FairQueue<T> {
    private int maxItems;
    private final Map<String, Flow<T>> flows = new HashMap<>();
    private double virtualTime;
    private int size;
    private long queuedWeight;
    private long nextNumber;

    /** Makes an empty queue that holds at most the given number of items. */
    public FairQueue(int maxItems) {
        this.maxItems = maxItems;
    }

    /** Changes the bound; items above it stay until they are served. */
    public void setMaxItems(int newMaxItems) {
        maxItems = newMaxItems;
    }

    /** Number of items. */
    public int size() {
        return size;
    }

    /** Number of items of a team. */
    public int size(String team) {
        Flow<T> flow = flows.get(team);
        return flow == null ? 0 : flow.items.size();
    }

    /** Number of items that would be served up to and with a new item of the team, if no more came. */
    public int position(String team, int weight) {
        Flow<T> flow = flows.get(team);
        boolean queued = flow != null && !flow.items.isEmpty();
        long total = queuedWeight + (queued ? 0 : weight);
        double rounds = (queued ? flow.items.size() : 0) + 1;
        return (int) Math.min(size + 1, Math.ceil(rounds * total / Math.max(1, weight)));
    }

    /**
     * Adds an item.
     *
     * @return the item that did not find room: empty, the given one, or one of a team that holds more than its share
     */
    public Optional<T> offer(String team, int weight, T item) {
        if (maxItems <= 0) {
            return Optional.of(item);
        }
        Optional<T> displaced = Optional.empty();
        if (size >= maxItems) {
            Flow<T> largest = largestFlow();
            if (fill(size(team) + 1, weight) >= fill(largest.items.size(), largest.weight)) {
                return Optional.of(item);
            }
            displaced = Optional.of(largest.items.removeLast().item());
            removed(largest);
        }
        Flow<T> flow = flows.computeIfAbsent(team, name -> new Flow<>());
        if (flow.items.isEmpty()) {
            queuedWeight += weight;
            flow.weight = weight;
            flow.headStart = Math.max(virtualTime, flow.lastFinish);
        }
        flow.items.addLast(new Numbered<>(item, nextNumber++));
        size++;
        return displaced;
    }

    /** Takes the next item among the teams that pass the test; empty when there is none. */
    public Optional<T> poll(Predicate<String> eligibleTeam) {
        Flow<T> next = null;
        for (Map.Entry<String, Flow<T>> entry : flows.entrySet()) {
            Flow<T> flow = entry.getValue();
            if (flow.items.isEmpty() || !eligibleTeam.test(entry.getKey())) {
                continue;
            }
            if (next == null || flow.headGoesBefore(next)) {
                next = flow;
            }
        }
        if (next == null) {
            return Optional.empty();
        }
        Numbered<T> head = next.items.removeFirst();
        virtualTime = Math.max(virtualTime, next.headStart);
        next.lastFinish = next.headStart + 1.0 / Math.max(1, next.weight);
        next.headStart = next.lastFinish;
        removed(next);
        return Optional.of(head.item());
    }

    /** Records that a team was served without waiting, so that its later items queue behind that. */
    public void recordImmediateService(String team, int weight) {
        if (size == 0) {
            return;
        }
        Flow<T> flow = flows.computeIfAbsent(team, name -> new Flow<>());
        flow.lastFinish = Math.max(virtualTime, flow.lastFinish) + 1.0 / Math.max(1, weight);
    }

    /** Removes and returns one item that passes the test; empty when there is none. */
    public Optional<T> removeFirst(Predicate<T> test) {
        for (Flow<T> flow : flows.values()) {
            Iterator<Numbered<T>> items = flow.items.iterator();
            while (items.hasNext()) {
                T item = items.next().item();
                if (test.test(item)) {
                    items.remove();
                    removed(flow);
                    return Optional.of(item);
                }
            }
        }
        return Optional.empty();
    }

    private void removed(Flow<T> flow) {
        size--;
        if (flow.items.isEmpty()) {
            queuedWeight -= flow.weight;
        }
        if (size == 0) {
            flows.clear();
            virtualTime = 0;
        }
    }

    private Flow<T> largestFlow() {
        Flow<T> largest = null;
        for (Flow<T> flow : flows.values()) {
            if (flow.items.isEmpty()) {
                continue;
            }
            if (largest == null || flow.isFullerThan(largest)) {
                largest = flow;
            }
        }
        return largest;
    }

    private static double fill(int items, int weight) {
        return (double) items / Math.max(1, weight);
    }

    private record Numbered<T>(T item, long number) {}

    private static final class Flow<T> {
        private final ArrayDeque<Numbered<T>> items = new ArrayDeque<>();
        private double headStart;
        private double lastFinish;
        private int weight;

        /** Equal start times are served in the order of arrival, so that no team is favoured by its name. */
        private boolean headGoesBefore(Flow<T> other) {
            int byStart = Double.compare(headStart, other.headStart);
            return byStart != 0
                    ? byStart < 0
                    : items.getFirst().number() < other.items.getFirst().number();
        }

        /** Of equally full flows the one with the newest item counts as fuller. */
        private boolean isFullerThan(Flow<T> other) {
            int byFill = Double.compare(fill(items.size(), weight), fill(other.items.size(), other.weight));
            return byFill != 0
                    ? byFill > 0
                    : items.getLast().number() > other.items.getLast().number();
        }
    }
}
