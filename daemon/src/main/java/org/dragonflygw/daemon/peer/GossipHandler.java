package org.dragonflygw.daemon.peer;

import org.dragonflygw.wire.gossip.GossipMessage;
import org.dragonflygw.wire.gossip.SheetReply;
import org.dragonflygw.wire.gossip.SheetRequest;

/** Handles gossip calls from other daemons. Must not block: the calling thread also serves other peers. */
public interface GossipHandler {
    /** Merges the state that another daemon sent, and replies with the state that the other daemon lacks. */
    void exchange(GossipMessage message, PeerReply<GossipMessage> reply);

    /** Replies with the content of the sheet that has the requested digest, if this daemon has the sheet. */
    void fetchSheet(SheetRequest request, PeerReply<SheetReply> reply);
}
