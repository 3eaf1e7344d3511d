package org.dragonflygw.core.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dragonflygw.core.routing.RoutingHash;

/** The prompt prefixes that a relay passes on, each once in a while however many hosts tell it. Not thread-safe. */
final class PrefixRelay {
    /** Largest number of prefixes in a message, which holds it within some kilobytes. */
    private static final int MAX_PER_MESSAGE = 48;

    /** Largest number of prefixes that wait for a message; the oldest are dropped. */
    private static final int MAX_WAITING = 192;

    /** Time for which a prefix is not passed on again, in nanoseconds; caches of engines hold it for longer. */
    private static final long REPEAT_NANOS = 3_000_000_000L;

    private final Map<Long, Long> toldNanos = new LinkedHashMap<>();
    private final Deque<SharedPrefix> waiting = new ArrayDeque<>();

    void add(List<SharedPrefix> prefixes, long nowNanos) {
        for (SharedPrefix p : prefixes) {
            long key = key(p);
            Long told = toldNanos.get(key);
            if (told != null && nowNanos - told < REPEAT_NANOS) {
                continue;
            }
            toldNanos.remove(key);
            toldNanos.put(key, nowNanos);
            waiting.addLast(p);
            if (waiting.size() > MAX_WAITING) {
                waiting.removeFirst();
            }
        }
    }

    /** Removes and returns the prefixes for the next message. */
    List<SharedPrefix> take(long nowNanos) {
        forget(nowNanos);
        List<SharedPrefix> taken = new ArrayList<>();
        while (!waiting.isEmpty() && taken.size() < MAX_PER_MESSAGE) {
            taken.add(waiting.removeFirst());
        }
        return taken;
    }

    /** Drops what waits, when another relay passes it on. */
    void clear(long nowNanos) {
        forget(nowNanos);
        waiting.clear();
    }

    private void forget(long nowNanos) {
        Iterator<Long> told = toldNanos.values().iterator();
        while (told.hasNext() && nowNanos - told.next() >= REPEAT_NANOS) {
            told.remove();
        }
    }

    private static long key(SharedPrefix p) {
        int parts = p.parts().size();
        return RoutingHash.mix(
                p.endpoint(), parts == 0 ? 0 : p.parts().get(parts - 1).id());
    }
}
