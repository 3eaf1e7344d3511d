package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * Rules by which this daemon changes its view of itself and of the others. Death is decided here by time alone: another
 * daemon's word that a daemon is dead only starts the time, so that the old views of a parted region cannot kill members
 * that still answer. Not thread-safe.
 */
final class MembershipState {
    private static final Duration DEAD_RETENTION = Duration.ofHours(2);
    private static final int MAX_DEAD = 2000;

    private final MemberTable table = new MemberTable();
    private final DisseminationQueue<Member> queue = new DisseminationQueue<>(this::rowOf, GossipMessageSizes::member);
    private final SuspicionTimeouts suspicions;
    private final EventRecorder events;
    private Member self;
    private boolean superseded;
    private boolean news;
    private boolean changed;

    MembershipState(Member self, Duration interval, EventRecorder events) {
        this.self = self;
        this.events = events;
        suspicions = new SuspicionTimeouts(interval);
    }

    Member self() {
        return self;
    }

    MemberTable table() {
        return table;
    }

    DisseminationQueue<Member> queue() {
        return queue;
    }

    SuspicionTimeouts suspicions() {
        return suspicions;
    }

    boolean superseded() {
        return superseded;
    }

    /** Whether something happened that all should learn at once; asking clears it. */
    boolean takeUrgentChange() {
        boolean had = news;
        news = false;
        return had;
    }

    /** Whether a row changed since the last call. */
    boolean takeChanged() {
        boolean had = changed;
        changed = false;
        return had;
    }

    long digest() {
        return table.digest() ^ MemberTable.hash(self);
    }

    int fleetSize() {
        return 1 + table.size() - table.deadCount();
    }

    List<Member> notDead() {
        List<Member> rows = new ArrayList<>();
        rows.add(self);
        for (Member row : table.all()) {
            if (row.status() != MemberStatus.DEAD) {
                rows.add(row);
            }
        }
        rows.sort(Comparator.comparing(Member::daemonId));
        return List.copyOf(rows);
    }

    /** Notes a daemon that the host list names; has no effect when anything is known of it. */
    void addListed(HostEntry host, Instant now) {
        Member listed = new Member(
                host.id(),
                host.address(),
                host.port(),
                0,
                host.availabilityZone(),
                host.region(),
                Member.LISTED,
                MemberStatus.ALIVE);
        if (!listed.daemonId().equals(self.daemonId())
                && table.get(listed.daemonId()).isEmpty()) {
            table.put(listed, now);
            changed = true;
        }
    }

    /** Takes what another daemon states about a daemon. */
    void acceptReported(Member row, Instant now) {
        if (row.daemonId().equals(self.daemonId())) {
            acceptAboutSelf(row);
            return;
        }
        Member known = table.get(row.daemonId()).orElse(null);
        if (known == null) {
            if (row.status() != MemberStatus.DEAD) {
                change(row, now);
            }
            return;
        }
        if (row.overrides(known)) {
            change(softened(row, known), now);
        }
    }

    /** Takes what a daemon states about itself in a direct exchange. */
    void acceptDirect(Member row, Instant now) {
        Member known = table.get(row.daemonId()).orElse(null);
        if (known == null || row.overrides(known)) {
            change(row, now);
        }
    }

    void exchangeFailed(String daemonId, Instant now) {
        Member known = table.get(daemonId).orElse(null);
        if (known == null || known.status() == MemberStatus.DEAD) {
            return;
        }
        suspicions.recordExchange(true);
        if (known.status() == MemberStatus.ALIVE) {
            change(known.withStatus(MemberStatus.SUSPECT), now);
        } else {
            suspicions.start(daemonId, now, fleetSize());
        }
    }

    void expireSuspects(Instant now) {
        for (String id : suspicions.takeExpired(now)) {
            table.get(id).ifPresent(row -> change(row.withStatus(MemberStatus.DEAD), now));
        }
        table.evictDead(now, DEAD_RETENTION, MAX_DEAD);
    }

    void markLeaving() {
        setSelf(self.withIncarnation(self.incarnation() + 1).withStatus(MemberStatus.LEAVING));
        news = true;
    }

    void markStopped() {
        setSelf(self.withStatus(MemberStatus.DEAD));
        news = true;
    }

    private Member rowOf(String daemonId) {
        return daemonId.equals(self.daemonId()) ? self : table.get(daemonId).orElse(null);
    }

    private void acceptAboutSelf(Member row) {
        if (row.incarnation() < self.incarnation() || !differs(row)) {
            return;
        }
        boolean neverStated = row.incarnation() > self.incarnation();
        boolean elsewhere = !row.address().equals(self.address()) || row.peerPort() != self.peerPort();
        if (neverStated && elsewhere && row.status() != MemberStatus.DEAD) {
            superseded = true;
            return;
        }
        setSelf(self.withIncarnation(row.incarnation() + 1));
    }

    private void setSelf(Member row) {
        self = row;
        queue.enqueue(row.daemonId());
        changed = true;
    }

    private boolean differs(Member row) {
        return row.incarnation() > self.incarnation() || row.status().overrides(self.status());
    }

    private static Member softened(Member row, Member known) {
        boolean hearsay = row.status() == MemberStatus.DEAD && known.status() != MemberStatus.DEAD;
        return hearsay && known.status() != MemberStatus.LEAVING ? row.withStatus(MemberStatus.SUSPECT) : row;
    }

    private void change(Member row, Instant now) {
        Member known = table.get(row.daemonId()).orElse(null);
        if (row.equals(known)) {
            return;
        }
        table.put(row, now);
        changed = true;
        if (row.status() == MemberStatus.SUSPECT) {
            suspicions.start(row.daemonId(), now, fleetSize());
        } else {
            suspicions.stop(row.daemonId());
        }
        if (row.incarnation() != Member.LISTED) {
            queue.enqueue(row.daemonId());
        }
        report(known, row);
    }

    private void report(Member before, Member row) {
        boolean wasGone = before == null || before.status() == MemberStatus.DEAD;
        String detail = "daemon " + row.daemonId() + ", incarnation " + row.incarnation();
        switch (row.status()) {
            case ALIVE -> {
                if (wasGone || before.incarnation() == Member.LISTED) {
                    events.record(EventType.MEMBER_JOINED, EventSubject.NONE, detail);
                }
            }
            case SUSPECT -> events.record(EventType.MEMBER_SUSPECTED, EventSubject.NONE, detail);
            case LEAVING -> {
                news = true;
                events.record(EventType.MEMBER_LEFT, EventSubject.NONE, detail + ", leaving");
            }
            case DEAD -> events.record(EventType.MEMBER_DEAD, EventSubject.NONE, detail);
        }
    }
}
