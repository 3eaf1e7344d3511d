package org.dragonflygw.daemon.peer;

import org.dragonflygw.wire.gossip.GossipMessage;
import org.dragonflygw.wire.gossip.SheetReply;
import org.dragonflygw.wire.gossip.SheetRequest;

/** Answers calls about shared state from other daemons. Does not block: the calling thread serves other peers. */
public interface GossipHandler {
    /** Takes what another daemon knows and gives back what it lacks. */
    void exchange(GossipMessage message, PeerReply<GossipMessage> reply);

    /** Gives the content of a sheet. */
    void fetchSheet(SheetRequest request, PeerReply<SheetReply> reply);
}
