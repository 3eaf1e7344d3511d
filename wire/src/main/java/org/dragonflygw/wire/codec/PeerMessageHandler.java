package org.dragonflygw.wire.codec;

import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;

/** Receives the decoded messages of one peer. A reply has the id of its question. */
public interface PeerMessageHandler {
    /** Another host asks for a permit. */
    void onPermitRequest(long id, PermitRequest request);

    /** Another host replies to a request of this host. */
    void onPermitReply(long id, PermitReply reply);
}
