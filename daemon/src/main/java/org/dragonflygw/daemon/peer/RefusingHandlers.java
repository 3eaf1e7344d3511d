package org.dragonflygw.daemon.peer;

import org.dragonflygw.wire.gossip.GossipMessage;
import org.dragonflygw.wire.gossip.SheetReply;
import org.dragonflygw.wire.gossip.SheetRequest;
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

/** Refuses every call; used by a daemon that runs without the grant or membership subsystem. */
public final class RefusingHandlers implements GrantHandler, GossipHandler {
    @Override
    public void acquireGrant(GrantRequest request, PeerReply<GrantReply> reply) {
        reply.fail(refusal());
    }

    @Override
    public void updateGrants(GrantUpdate update, PeerReply<GrantUpdateReply> reply) {
        reply.fail(refusal());
    }

    @Override
    public void takeTeamTokens(TeamTokenRequest request, PeerReply<TeamTokenReply> reply) {
        reply.fail(refusal());
    }

    @Override
    public void askSuspect(SuspectRequest request, PeerReply<SuspectReply> reply) {
        reply.fail(refusal());
    }

    @Override
    public void stateLoads(LoadStatement statement, PeerReply<LoadSum> reply) {
        reply.fail(refusal());
    }

    @Override
    public void exchange(GossipMessage message, PeerReply<GossipMessage> reply) {
        reply.fail(refusal());
    }

    @Override
    public void fetchSheet(SheetRequest request, PeerReply<SheetReply> reply) {
        reply.fail(refusal());
    }

    private static PeerException refusal() {
        return new PeerException(PeerCode.REFUSED, "this daemon does not serve the call");
    }
}
