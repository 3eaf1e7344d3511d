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

/** Answers calls about grants from other daemons. Does not block: the calling thread serves other peers. */
public interface GrantHandler {
    /** Decides about a grant; the reply may come later, when the request leaves the queue. */
    void acquireGrant(GrantRequest request, PeerReply<GrantReply> reply);

    /** Takes renewals and ends of grants. */
    void updateGrants(GrantUpdate update, PeerReply<GrantUpdateReply> reply);

    /** Gives tokens of a team's rate. */
    void takeTeamTokens(TeamTokenRequest request, PeerReply<TeamTokenReply> reply);

    /** Decides whether a request may be attempted that was in flight on an engine that was lost. */
    void askSuspect(SuspectRequest request, PeerReply<SuspectReply> reply);

    /** Takes loads of engines and gives the sum over the others of their pool. */
    void stateLoads(LoadStatement statement, PeerReply<LoadSum> reply);
}
