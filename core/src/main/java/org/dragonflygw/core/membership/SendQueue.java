package org.dragonflygw.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Ids of rows that changed and are still to be spread, each a bounded number of times, in rotation. Not thread-safe.
 *
 * @param <T> type of the rows
 */
final class SendQueue<T> {
    private final Map<String, Integer> sendsById = new LinkedHashMap<>();
    private final Function<String, T> rows;
    private final ToIntFunction<T> sizes;

    /**
     * Makes an empty queue.
     *
     * @param rows gives the row of an id, or null when it is gone
     * @param sizes gives the encoded size of a row, in bytes
     */
    SendQueue(Function<String, T> rows, ToIntFunction<T> sizes) {
        this.rows = rows;
        this.sizes = sizes;
    }

    /** Notes that a row changed: it is sent afresh, after those that wait already. */
    void changed(String id) {
        sendsById.remove(id);
        sendsById.put(id, 0);
    }

    /** Takes the next rows up to a number of bytes. Each row is taken at most {@code maxSends} times in all. */
    List<T> take(int maxBytes, int maxSends, Predicate<T> wanted) {
        List<T> taken = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        int left = maxBytes;
        for (String id : List.copyOf(sendsById.keySet())) {
            T row = rows.apply(id);
            if (row == null) {
                sendsById.remove(id);
                continue;
            }
            int size = sizes.applyAsInt(row);
            if (size > left) {
                break;
            }
            if (wanted.test(row)) {
                left -= size;
                taken.add(row);
                ids.add(id);
            }
        }
        ids.forEach(id -> countSend(id, maxSends));
        return taken;
    }

    int size() {
        return sendsById.size();
    }

    private void countSend(String id, int maxSends) {
        int sends = sendsById.remove(id) + 1;
        if (sends < maxSends) {
            sendsById.put(id, sends);
        }
    }
}
