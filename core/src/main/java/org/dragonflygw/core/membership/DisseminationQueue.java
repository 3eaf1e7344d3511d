package org.dragonflygw.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * Ids of changed rows that are still to be disseminated, each a bounded number of times, in rotation. Rows that were
 * sent fewer times since their last change go first. A row that changes while it is queued keeps its place, so that
 * rows that change often are still sent. Not thread-safe.
 *
 * @param <T> type of the rows
 */
final class DisseminationQueue<T> {
    private static final int FRESH_SENDS = 2;

    private final Map<String, Integer> urgent = new LinkedHashMap<>();
    private final Map<String, Integer> fresh = new LinkedHashMap<>();
    private final Map<String, Integer> sent = new LinkedHashMap<>();
    private final Function<String, T> rows;
    private final ToIntFunction<T> sizes;

    /**
     * Creates an empty queue.
     *
     * @param rows returns the row of an id, or null if the row was removed
     * @param sizes returns the encoded size of a row, in bytes
     */
    DisseminationQueue(Function<String, T> rows, ToIntFunction<T> sizes) {
        this.rows = rows;
        this.sizes = sizes;
    }

    /** Adds a row that changed and resets its number of sends. No effect if the row is queued as urgent. */
    void enqueue(String id) {
        if (urgent.containsKey(id)) {
            return;
        }
        sent.remove(id);
        fresh.put(id, 0);
    }

    /** Adds a row that changed as urgent, so that it precedes all others until its number of sends is reached. */
    void enqueueUrgent(String id) {
        sent.remove(id);
        fresh.remove(id);
        urgent.put(id, 0);
    }

    /** Takes the next rows of at most {@code maxBytes} bytes, each at most {@code maxSends} times in all. */
    List<T> take(int maxBytes, int maxSends) {
        List<T> taken = new ArrayList<>();
        int used = takeFrom(fresh, false, taken, maxBytes, maxSends);
        takeFrom(sent, false, taken, maxBytes - used, maxSends);
        return taken;
    }

    /** Takes the next urgent rows of at most {@code maxBytes} bytes, each at most {@code maxSends} times in all. */
    List<T> takeUrgent(int maxBytes, int maxSends) {
        List<T> taken = new ArrayList<>();
        takeFrom(urgent, true, taken, maxBytes, maxSends);
        return taken;
    }

    private int takeFrom(Map<String, Integer> queue, boolean isUrgent, List<T> taken, int maxBytes, int maxSends) {
        int used = 0;
        List<String> ids = new ArrayList<>();
        List<String> removedIds = new ArrayList<>();
        for (String id : queue.keySet()) {
            T row = rows.apply(id);
            if (row == null) {
                removedIds.add(id);
                continue;
            }
            int size = sizes.applyAsInt(row);
            if (used + size > maxBytes) {
                break;
            }
            used += size;
            taken.add(row);
            ids.add(id);
        }
        removedIds.forEach(queue::remove);
        ids.forEach(id -> countSend(queue, isUrgent, id, maxSends));
        return used;
    }

    private void countSend(Map<String, Integer> queue, boolean isUrgent, String id, int maxSends) {
        int sends = queue.remove(id) + 1;
        if (sends >= maxSends) {
            return;
        }
        if (isUrgent) {
            urgent.put(id, sends);
        } else {
            (sends < FRESH_SENDS ? fresh : sent).put(id, sends);
        }
    }
}
