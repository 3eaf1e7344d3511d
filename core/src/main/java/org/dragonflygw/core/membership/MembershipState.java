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
 * The row of this daemon and its rows of the others, with the rules by which they change. Only an expired suspicion of
 * this daemon, or a daemon's own announcement, makes a daemon dead. A report of another daemon that a member is dead
 * makes it only suspect, so that stale views of a partitioned region cannot remove members that still answer. A report
 * that a leaving member is dead is taken as it is. Not thread-safe.
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
    private boolean urgentChange;
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

    /** Whether a change must be disseminated at once; clears the flag. */
    boolean takeUrgentChange() {
        boolean was = urgentChange;
        urgentChange = false;
        return was;
    }

    /** Whether a row changed since the last call; clears the flag. */
    boolean takeChanged() {
        boolean was = changed;
        changed = false;
        return was;
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

    /** Adds a daemon of the host list; ignored if the daemon is known already. */
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

    /** Applies a row that another daemon sent about any daemon, this one included. */
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
            change(withDeathAsSuspicion(row, known), now);
        }
    }

    /** Applies the row that a daemon sent about itself in a direct exchange. */
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
        urgentChange = true;
    }

    void markStopped() {
        setSelf(self.withStatus(MemberStatus.DEAD));
        urgentChange = true;
    }

    private Member rowOf(String daemonId) {
        return daemonId.equals(self.daemonId()) ? self : table.get(daemonId).orElse(null);
    }

    private void acceptAboutSelf(Member row) {
        if (row.incarnation() < self.incarnation() || !differs(row)) {
            return;
        }
        boolean unknownIncarnation = row.incarnation() > self.incarnation();
        boolean otherAddress = !row.address().equals(self.address()) || row.peerPort() != self.peerPort();
        if (unknownIncarnation && otherAddress && row.status() != MemberStatus.DEAD) {
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

    private static Member withDeathAsSuspicion(Member row, Member known) {
        boolean reportedDead = row.status() == MemberStatus.DEAD && known.status() != MemberStatus.DEAD;
        return reportedDead && known.status() != MemberStatus.LEAVING ? row.withStatus(MemberStatus.SUSPECT) : row;
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
        recordEvent(known, row);
    }

    private void recordEvent(Member before, Member row) {
        boolean wasAbsent = before == null || before.status() == MemberStatus.DEAD;
        String detail = "daemon " + row.daemonId() + ", incarnation " + row.incarnation();
        switch (row.status()) {
            case ALIVE -> {
                if (wasAbsent || before.incarnation() == Member.LISTED) {
                    events.record(EventType.MEMBER_JOINED, EventSubject.NONE, detail);
                }
            }
            case SUSPECT -> events.record(EventType.MEMBER_SUSPECTED, EventSubject.NONE, detail);
            case LEAVING -> {
                urgentChange = true;
                events.record(EventType.MEMBER_LEFT, EventSubject.NONE, detail + ", leaving");
            }
            case DEAD -> events.record(EventType.MEMBER_DEAD, EventSubject.NONE, detail);
        }
    }
}
