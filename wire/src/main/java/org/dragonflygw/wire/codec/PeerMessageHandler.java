package org.dragonflygw.wire.codec;

import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.StreamOrigin;

/** Receives the decoded messages of one peer. A reply has the id of its question. */
public interface PeerMessageHandler {
    /** Another host asks for a permit. */
    void onPermitRequest(long id, PermitRequest request);

    /** Another host replies to a request of this host. */
    void onPermitReply(long id, PermitReply reply);

    /** Another host tells where the stream of an attempt begins. */
    void onStreamOrigin(String attempt, StreamOrigin origin);

    /** Another host asks where the stream of an attempt began. */
    void onOriginRequest(long id, String attempt, String service);

    /** Another host replies to such a question of this host. */
    void onOriginReply(long id, OriginReply reply);

    /** Another host tells its load. */
    void onHostLoad(HostLoad load);

    /** Another host tells or passes on the sums of the loads of many hosts. */
    void onFleetLoad(FleetLoad load);
}
