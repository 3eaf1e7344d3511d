package org.dragonflygw.daemon.peer;

import org.dragonflygw.wire.grants.GrantReply;
import org.dragonflygw.wire.grants.GrantRequest;
import org.dragonflygw.wire.grants.GrantUpdate;
import org.dragonflygw.wire.grants.GrantUpdateReply;
import org.dragonflygw.wire.grants.LoadStatement;
import org.dragonflygw.wire.grants.LoadSum;
import org.dragonflygw.wire.grants.SuspectReply;
import org.dragonflygw.wire.grants.SuspectRequest;
import org.dragonflygw.wire.grants.TeamTokenReply;
import org.dragonflygw.wire.grants.TeamTokenRequest;

/** Handles calls about grants from other daemons. Must not block: the calling thread also serves other peers. */
public interface GrantHandler {
    /** Grants or refuses a slot; the reply may come later, when the request leaves the queue. */
    void acquireGrant(GrantRequest request, PeerReply<GrantReply> reply);

    /** Applies renewals and ends of grants, and reports about spilled chats, crashes and suspects. */
    void updateGrants(GrantUpdate update, PeerReply<GrantUpdateReply> reply);

    /** Replies with tokens from a team's rate bucket. */
    void takeTeamTokens(TeamTokenRequest request, PeerReply<TeamTokenReply> reply);

    /** Decides whether a request that was in flight on a lost engine may be attempted again. */
    void askSuspect(SuspectRequest request, PeerReply<SuspectReply> reply);

    /** Records loads of engines, and replies with the sum over the other engines of the pool. */
    void stateLoads(LoadStatement statement, PeerReply<LoadSum> reply);
}
