package org.dragonflygw.core.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflygw.core.limits.TeamShares;

/**
 * The open grants of one steward, with counts by fingerprint and of suspects. Not thread safe; guarded by the owner.
 */
final class OpenGrants {
    private final TeamShares shares;
    private final Map<Long, OpenGrant> grants = new HashMap<>();
    private final Map<Long, Integer> fingerprints = new HashMap<>();
    private int suspects;

    OpenGrants(TeamShares shares) {
        this.shares = shares;
    }

    int size() {
        return grants.size();
    }

    boolean hasSuspect() {
        return suspects > 0;
    }

    boolean hasFingerprint(long fingerprint) {
        return fingerprints.containsKey(fingerprint);
    }

    void add(long grantId, OpenGrant grant) {
        grants.put(grantId, grant);
        fingerprints.merge(grant.fingerprint(), 1, Integer::sum);
        shares.acquireSlot(grant.team());
        suspects += grant.suspect() ? 1 : 0;
    }

    Optional<OpenGrant> remove(long grantId) {
        OpenGrant grant = grants.remove(grantId);
        if (grant == null) {
            return Optional.empty();
        }
        fingerprints.computeIfPresent(grant.fingerprint(), (key, count) -> count > 1 ? count - 1 : null);
        shares.releaseSlot(grant.team());
        suspects -= grant.suspect() ? 1 : 0;
        return Optional.of(grant);
    }

    boolean renew(long grantId, Instant expiry) {
        return grants.computeIfPresent(grantId, (id, grant) -> grant.renewed(expiry)) != null;
    }

    /** Removes the expired grants; returns their number. */
    int expire(Instant now) {
        List<Long> expired = new ArrayList<>();
        grants.forEach((id, grant) -> {
            if (!grant.expiry().isAfter(now)) {
                expired.add(id);
            }
        });
        expired.forEach(this::remove);
        return expired.size();
    }
}
