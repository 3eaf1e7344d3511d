package org.dragonflygw.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * Ids of rows that changed and are still to be spread, each a bounded number of times, in rotation. Rows that were sent
 * seldom since their last change go first. A row that changes while it waits keeps its place, so that rows that change
 * often are sent as well. Not thread-safe.
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
     * Makes an empty queue.
     *
     * @param rows gives the row of an id, or null when it is gone
     * @param sizes gives the encoded size of a row, in bytes
     */
    DisseminationQueue(Function<String, T> rows, ToIntFunction<T> sizes) {
        this.rows = rows;
        this.sizes = sizes;
    }

    /** Notes that a row changed and is to be spread afresh. */
    void enqueue(String id) {
        if (urgent.containsKey(id)) {
            return;
        }
        sent.remove(id);
        fresh.put(id, 0);
    }

    /** Notes that a row changed and goes before all others until it was sent often enough. */
    void enqueueUrgent(String id) {
        sent.remove(id);
        fresh.remove(id);
        urgent.put(id, 0);
    }

    /** Takes the next rows up to a number of bytes. Each row is taken at most {@code maxSends} times in all. */
    List<T> take(int maxBytes, int maxSends) {
        List<T> taken = new ArrayList<>();
        int used = takeFrom(fresh, false, taken, maxBytes, maxSends);
        takeFrom(sent, false, taken, maxBytes - used, maxSends);
        return taken;
    }

    /** Takes the next urgent rows up to a number of bytes, each at most {@code maxSends} times in all. */
    List<T> takeUrgent(int maxBytes, int maxSends) {
        List<T> taken = new ArrayList<>();
        takeFrom(urgent, true, taken, maxBytes, maxSends);
        return taken;
    }

    private int takeFrom(Map<String, Integer> queue, boolean isUrgent, List<T> taken, int maxBytes, int maxSends) {
        int used = 0;
        List<String> ids = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        for (String id : queue.keySet()) {
            T row = rows.apply(id);
            if (row == null) {
                gone.add(id);
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
        gone.forEach(queue::remove);
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
