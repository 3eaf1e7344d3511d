package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/** Rows of the other daemons, with their times of death, the last exchange with each and a digest. Not thread-safe. */
final class MemberTable {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final TreeMap<String, Member> rows = new TreeMap<>();
    private final Map<String, Instant> deadSince = new HashMap<>();
    private final Map<String, LastExchange> sightings = new HashMap<>();
    private long digest;

    Optional<Member> get(String daemonId) {
        return Optional.ofNullable(rows.get(daemonId));
    }

    void put(Member row, Instant now) {
        Member before = rows.put(row.daemonId(), row);
        digest ^= before == null ? 0 : hash(before);
        digest ^= hash(row);
        if (row.status() != MemberStatus.DEAD) {
            deadSince.remove(row.daemonId());
        } else {
            deadSince.putIfAbsent(row.daemonId(), now);
        }
    }

    /** Digest of the rows, without dead and only listed daemons; alive and suspect count as the same. */
    long digest() {
        return digest;
    }

    static long hash(Member row) {
        if (row.status() == MemberStatus.DEAD || row.incarnation() == Member.LISTED) {
            return 0;
        }
        long leaving = row.status() == MemberStatus.LEAVING ? 1 : 0;
        return HASH.hashLong(HASH.hashChars(row.daemonId()) ^ HASH.hashLong(2 * row.incarnation() + leaving));
    }

    Collection<Member> all() {
        return rows.values();
    }

    /** First row after an id, wrapping round at the end; null if the table is empty. */
    Member nextAfter(String daemonId) {
        Map.Entry<String, Member> next = rows.higherEntry(daemonId);
        if (next == null) {
            next = rows.firstEntry();
        }
        return next == null ? null : next.getValue();
    }

    List<String> ids(boolean dead) {
        List<String> ids = new ArrayList<>();
        for (Member row : rows.values()) {
            if ((row.status() == MemberStatus.DEAD) == dead) {
                ids.add(row.daemonId());
            }
        }
        return ids;
    }

    int size() {
        return rows.size();
    }

    int deadCount() {
        return deadSince.size();
    }

    void recordExchange(String daemonId, LastExchange sighting) {
        sightings.put(daemonId, sighting);
    }

    LastExchange lastExchange(String daemonId) {
        return sightings.getOrDefault(daemonId, LastExchange.NONE);
    }

    /** Removes daemons dead for longer than the retention time, and the longest dead above {@code maxDead}. */
    void evictDead(Instant now, Duration retention, int maxDead) {
        List<String> dead = new ArrayList<>(deadSince.keySet());
        dead.sort(Comparator.comparing(deadSince::get));
        int surplus = dead.size() - maxDead;
        for (int i = 0; i < dead.size(); i++) {
            String id = dead.get(i);
            if (i < surplus || deadSince.get(id).plus(retention).isBefore(now)) {
                rows.remove(id);
                deadSince.remove(id);
                sightings.remove(id);
            }
        }
    }
}
