package org.dragonflygw.daemon.grant;

import com.google.inject.Inject;
import com.google.inject.Provider;
import com.google.inject.Singleton;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.membership.MembershipView;
import org.dragonflygw.core.routing.StewardAssignment;
import org.dragonflygw.daemon.peer.PeerAddress;

/**
 * Determines which daemon owns an engine, pool, team or request fingerprint, by hashing over the daemons of a region that
 * accept work. Results are cached until the member list changes. Thread-safe.
 */
@Singleton
public final class OwnershipView {
    private static final int MAX_CACHED_OWNERS = 20_000;

    private final Provider<MembershipView> members;
    private volatile OwnerCache cache = new OwnerCache(List.of());

    @Inject
    public OwnershipView(Provider<MembershipView> members) {
        this.members = members;
    }

    /** Returns the id of this daemon. */
    public String selfId() {
        return members.get().self().daemonId();
    }

    /** Returns the region of this daemon. */
    public String region() {
        return members.get().self().region();
    }

    /** Returns the number of daemons that accept work in this region, at least 1. */
    public int daemonCount() {
        return Math.max(1, members.get().daemonsAcceptingWork(region()).size());
    }

    /** Returns all known daemons, including this one. */
    public List<Member> members() {
        return members.get().members();
    }

    /** Returns the steward of an engine; empty when no daemon of the engine's region accepts work. */
    public Optional<Member> engineSteward(String engineId, String engineRegion) {
        return owner(engineId, engineRegion);
    }

    /** Returns the daemon of this region that sums the loads of a pool. */
    public Optional<Member> poolOwner(String pool) {
        return owner("pool " + pool, region());
    }

    /** Returns the daemon of this region that holds the token bucket of a team. */
    public Optional<Member> teamOwner(String team) {
        return owner("team " + team, region());
    }

    /** Returns the daemon of this region that decides on attempts of a suspected request. */
    public Optional<Member> fingerprintOwner(long fingerprint) {
        return owner("fingerprint " + Long.toHexString(fingerprint), region());
    }

    /** Returns whether a member is this daemon. */
    public boolean isSelf(Member member) {
        return member.daemonId().equals(selfId());
    }

    /** Returns the address at which a member serves calls of other daemons. */
    public static PeerAddress address(Member member) {
        return new PeerAddress(member.address(), member.peerPort());
    }

    private Optional<Member> owner(String subject, String ownerRegion) {
        List<Member> currentMembers = members.get().members();
        OwnerCache current = cache;
        if (!current.members.equals(currentMembers)) {
            current = new OwnerCache(currentMembers);
            cache = current;
        }
        if (current.owners.size() > MAX_CACHED_OWNERS) {
            current.owners.clear();
        }
        return current.owners.computeIfAbsent(
                ownerRegion + " " + subject, key -> find(subject, ownerRegion, currentMembers));
    }

    private Optional<Member> find(String subject, String ownerRegion, List<Member> currentMembers) {
        String id = StewardAssignment.steward(subject, members.get().daemonsAcceptingWork(ownerRegion));
        return currentMembers.stream()
                .filter(member -> member.daemonId().equals(id))
                .findFirst();
    }

    private static final class OwnerCache {
        private final List<Member> members;
        private final Map<String, Optional<Member>> owners = new ConcurrentHashMap<>();

        private OwnerCache(List<Member> members) {
            this.members = members;
        }
    }
}
