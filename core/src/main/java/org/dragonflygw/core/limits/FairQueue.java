package org.dragonflygw.core.limits;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Bounded start-time fair queue with one flow per team. Items of a team are served in order of arrival. Across teams,
 * the head item with the smallest virtual start time is served first, so each team gets its weighted share of the
 * slots. When the queue is full, the newest item of the team with the most items relative to its weight is evicted.
 * Not thread-safe.
 *
 * @param <T> type of the queued items
 */
public final class FairQueue<T> {
    private int maxItems;
    private final Map<String, Flow<T>> flows = new HashMap<>();
    private double virtualTime;
    private int size;
    private long queuedWeight;
    private long nextSequence;

    /** Creates an empty queue with a capacity of {@code maxItems}. */
    public FairQueue(int maxItems) {
        this.maxItems = maxItems;
    }

    /** Changes the capacity. Items beyond a smaller capacity stay queued until they are served. */
    public void setMaxItems(int newMaxItems) {
        maxItems = newMaxItems;
    }

    /** Returns the number of queued items. */
    public int size() {
        return size;
    }

    /** Returns the number of queued items of a team. */
    public int size(String team) {
        Flow<T> flow = flows.get(team);
        return flow == null ? 0 : flow.items.size();
    }

    /**
     * Returns the 1-based position at which a new item of the team would be served if no other items arrived; at most
     * {@code size() + 1}.
     */
    public int position(String team, int weight) {
        Flow<T> flow = flows.get(team);
        boolean queued = flow != null && !flow.items.isEmpty();
        long total = queuedWeight + (queued ? 0 : weight);
        double rounds = (queued ? flow.items.size() : 0) + 1;
        return (int) Math.min(size + 1, Math.ceil(rounds * total / Math.max(1, weight)));
    }

    /**
     * Adds an item. When the queue is full, either the new item is rejected or the newest item of the fullest team is
     * evicted, whichever team would have more items relative to its weight.
     *
     * @return the rejected or evicted item, or empty if there was room
     */
    public Optional<T> offer(String team, int weight, T item) {
        if (maxItems <= 0) {
            return Optional.of(item);
        }
        Optional<T> evicted = Optional.empty();
        if (size >= maxItems) {
            Flow<T> largest = largestFlow();
            if (itemsPerWeight(size(team) + 1, weight) >= itemsPerWeight(largest.items.size(), largest.weight)) {
                return Optional.of(item);
            }
            evicted = Optional.of(largest.items.removeLast().item());
            onItemRemoved(largest);
        }
        Flow<T> flow = flows.computeIfAbsent(team, name -> new Flow<>());
        if (flow.items.isEmpty()) {
            queuedWeight += weight;
            flow.weight = weight;
            flow.headStart = Math.max(virtualTime, flow.lastFinish);
        }
        flow.items.addLast(new SequencedItem<>(item, nextSequence++));
        size++;
        return evicted;
    }

    /** Removes and returns the next item of the teams that match the predicate, or empty if there is none. */
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
        SequencedItem<T> head = next.items.removeFirst();
        virtualTime = Math.max(virtualTime, next.headStart);
        next.lastFinish = next.headStart + 1.0 / Math.max(1, next.weight);
        next.headStart = next.lastFinish;
        onItemRemoved(next);
        return Optional.of(head.item());
    }

    /**
     * Charges a team for a request that was served without queueing, so that its later items start later. Has no effect
     * while the queue is empty.
     */
    public void recordImmediateService(String team, int weight) {
        if (size == 0) {
            return;
        }
        Flow<T> flow = flows.computeIfAbsent(team, name -> new Flow<>());
        flow.lastFinish = Math.max(virtualTime, flow.lastFinish) + 1.0 / Math.max(1, weight);
    }

    /** Removes and returns one item that matches the predicate, or empty if there is none. */
    public Optional<T> removeFirst(Predicate<T> predicate) {
        for (Flow<T> flow : flows.values()) {
            Iterator<SequencedItem<T>> items = flow.items.iterator();
            while (items.hasNext()) {
                T item = items.next().item();
                if (predicate.test(item)) {
                    items.remove();
                    onItemRemoved(flow);
                    return Optional.of(item);
                }
            }
        }
        return Optional.empty();
    }

    private void onItemRemoved(Flow<T> flow) {
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

    private static double itemsPerWeight(int items, int weight) {
        return (double) items / Math.max(1, weight);
    }

    private record SequencedItem<T>(T item, long sequence) {}

    private static final class Flow<T> {
        private final ArrayDeque<SequencedItem<T>> items = new ArrayDeque<>();
        private double headStart;
        private double lastFinish;
        private int weight;

        /** Ties in start time are broken by order of arrival, so that the name of a team gives no advantage. */
        private boolean headGoesBefore(Flow<T> other) {
            int byStart = Double.compare(headStart, other.headStart);
            return byStart != 0
                    ? byStart < 0
                    : items.getFirst().sequence() < other.items.getFirst().sequence();
        }

        /** Of two equally full flows, the one with the newest item counts as fuller. */
        private boolean isFullerThan(Flow<T> other) {
            int byItemsPerWeight = Double.compare(
                    itemsPerWeight(items.size(), weight), itemsPerWeight(other.items.size(), other.weight));
            return byItemsPerWeight != 0
                    ? byItemsPerWeight > 0
                    : items.getLast().sequence() > other.items.getLast().sequence();
        }
    }
}
