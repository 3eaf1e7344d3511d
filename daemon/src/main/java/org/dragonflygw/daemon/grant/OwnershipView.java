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
 * Which daemon owns what, by hashing over the working daemons of a region: engines, pools, teams and request
 * fingerprints. Answers are kept until the view of the members changes. Safe from every thread.
 */
@Singleton
public final class OwnershipView {
    private static final int MAX_KEPT = 20_000;

    private final Provider<MembershipView> members;
    private volatile OwnerCache kept = new OwnerCache(List.of());

    @Inject
    public OwnershipView(Provider<MembershipView> members) {
        this.members = members;
    }

    /** Id of this daemon. */
    public String selfId() {
        return members.get().self().daemonId();
    }

    /** Region of this daemon. */
    public String region() {
        return members.get().self().region();
    }

    /** Number of daemons that work in this region, at least 1. */
    public int daemonCount() {
        return Math.max(1, members.get().daemonsAcceptingWork(region()).size());
    }

    /** All daemons, this one included. */
    public List<Member> members() {
        return members.get().members();
    }

    /** The steward of an engine; empty when the region has no daemon. */
    public Optional<Member> engineSteward(String engineId, String engineRegion) {
        return owner(engineId, engineRegion);
    }

    /** The daemon of this region that sums the loads of a pool. */
    public Optional<Member> poolOwner(String pool) {
        return owner("pool " + pool, region());
    }

    /** The daemon of this region that keeps a team's tokens. */
    public Optional<Member> teamOwner(String team) {
        return owner("team " + team, region());
    }

    /** The daemon of this region that decides about attempts of a suspected request. */
    public Optional<Member> fingerprintOwner(long fingerprint) {
        return owner("fingerprint " + Long.toHexString(fingerprint), region());
    }

    /** Whether a member is this daemon. */
    public boolean isSelf(Member member) {
        return member.daemonId().equals(selfId());
    }

    /** Where a member answers calls. */
    public static PeerAddress address(Member member) {
        return new PeerAddress(member.address(), member.peerPort());
    }

    private Optional<Member> owner(String subject, String ownerRegion) {
        List<Member> now = members.get().members();
        OwnerCache current = kept;
        if (!current.members.equals(now)) {
            current = new OwnerCache(now);
            kept = current;
        }
        if (current.owners.size() > MAX_KEPT) {
            current.owners.clear();
        }
        return current.owners.computeIfAbsent(ownerRegion + " " + subject, key -> find(subject, ownerRegion, now));
    }

    private Optional<Member> find(String subject, String ownerRegion, List<Member> now) {
        String id = StewardAssignment.steward(subject, members.get().daemonsAcceptingWork(ownerRegion));
        return now.stream().filter(member -> member.daemonId().equals(id)).findFirst();
    }

    private static final class OwnerCache {
        private final List<Member> members;
        private final Map<String, Optional<Member>> owners = new ConcurrentHashMap<>();

        private OwnerCache(List<Member> members) {
            this.members = members;
        }
    }
}
