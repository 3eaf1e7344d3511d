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

/** Rows about the other daemons, with the time of their last change and their digest. Not thread-safe. */
final class MemberTable {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final TreeMap<String, Member> rows = new TreeMap<>();
    private final Map<String, Instant> diedAt = new HashMap<>();
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
            diedAt.remove(row.daemonId());
        } else {
            diedAt.putIfAbsent(row.daemonId(), now);
        }
    }

    /** Digest of the rows that are not dead and not only listed, without regard to suspicion. */
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

    /** The first row after an id, going round; null when the table is empty. */
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
        return diedAt.size();
    }

    void recordExchange(String daemonId, LastExchange sighting) {
        sightings.put(daemonId, sighting);
    }

    LastExchange lastExchange(String daemonId) {
        return sightings.getOrDefault(daemonId, LastExchange.NONE);
    }

    /** Forgets the daemons that died before a time, and the longest dead above a number. */
    void evictDead(Instant now, Duration retention, int maxDead) {
        List<String> dead = new ArrayList<>(diedAt.keySet());
        dead.sort(Comparator.comparing(diedAt::get));
        int surplus = dead.size() - maxDead;
        for (int i = 0; i < dead.size(); i++) {
            String id = dead.get(i);
            if (i < surplus || diedAt.get(id).plus(retention).isBefore(now)) {
                rows.remove(id);
                diedAt.remove(id);
                sightings.remove(id);
            }
        }
    }
}
