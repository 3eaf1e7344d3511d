package org.dragonflygw.bench.peers;

import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.wire.codec.PeerMessageHandler;

/** Keeps the last decoded load message. */
final class DecodedLoads implements PeerMessageHandler {
    Object last;

    @Override
    public void onHostLoad(HostLoad load) {
        last = load;
    }

    @Override
    public void onFleetLoad(FleetLoad load) {
        last = load;
    }

    @Override
    public void onPermitRequest(long id, PermitRequest request) {}

    @Override
    public void onPermitReply(long id, PermitReply reply) {}

    @Override
    public void onStreamOrigin(String attempt, StreamOrigin origin) {}

    @Override
    public void onOriginRequest(long id, String attempt, String service) {}

    @Override
    public void onOriginReply(long id, OriginReply reply) {}
}
