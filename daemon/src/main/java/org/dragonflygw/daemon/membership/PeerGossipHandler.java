package org.dragonflygw.daemon.membership;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.daemon.peer.GossipHandler;
import org.dragonflygw.daemon.peer.PeerReply;
import org.dragonflygw.wire.codec.SheetCompression;
import org.dragonflygw.wire.gossip.GossipMessage;
import org.dragonflygw.wire.gossip.SheetReply;
import org.dragonflygw.wire.gossip.SheetRequest;

/** Answers gossip exchanges and sheet fetches of other daemons, from memory. Thread-safe. */
@Singleton
final class PeerGossipHandler implements GossipHandler {
    private static final byte[] EMPTY = {};

    private final GossipNode gossip;
    private final ActiveSheetHolder sheets;

    @Inject
    PeerGossipHandler(GossipNode gossip, ActiveSheetHolder sheets) {
        this.gossip = gossip;
        this.sheets = sheets;
    }

    @Override
    public void exchange(GossipMessage message, PeerReply<GossipMessage> reply) {
        try {
            reply.send(gossip.answerExchange(message));
        } catch (CodedException e) {
            reply.fail(e);
        }
    }

    @Override
    public void fetchSheet(SheetRequest request, PeerReply<SheetReply> reply) {
        byte[] content = sheets.content(request.getDigest())
                .map(SheetCompression::compress)
                .orElse(null);
        SheetReply answer = new SheetReply().setFound(content != null);
        answer.setContent(content == null ? EMPTY : content);
        reply.send(answer);
    }
}
