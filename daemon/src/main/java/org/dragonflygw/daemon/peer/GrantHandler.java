package org.dragonflygw.daemon.peer;

import org.dragonflygw.wire.grants.GrantReply;
import org.dragonflygw.wire.grants.GrantRequest;
import org.dragonflygw.wire.grants.GrantUpdate;
import org.dragonflygw.wire.grants.GrantUpdateReply;

/** Answers calls about grants from other daemons. Does not block: the calling thread serves other peers. */
public interface GrantHandler {
    /** Decides about a grant; the reply may come later, when the request leaves the queue. */
    void acquireGrant(GrantRequest request, PeerReply<GrantReply> reply);

    /** Takes renewals and ends of grants. */
    void updateGrants(GrantUpdate update, PeerReply<GrantUpdateReply> reply);
}
