package org.dragonflygw.wire.codec;

import java.util.Optional;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.StreamOrigin;
import org.dragonflygw.wire.hosts.OriginReplyMessage;
import org.dragonflygw.wire.hosts.OriginRequestMessage;
import org.dragonflygw.wire.hosts.PeerMessage;
import org.dragonflygw.wire.hosts.PermitReplyMessage;
import org.dragonflygw.wire.hosts.StreamOriginMessage;

/**
 * Encodes and decodes the messages between hosts beside the reports, in the compact Thrift protocol. The first byte is 0,
 * with which no report begins. Not thread-safe: use one codec per thread.
 */
public final class PeerMessageCodec {
    private static final byte MARK = 0;

    private final TSerializer serializer;
    private final TDeserializer deserializer;

    public PeerMessageCodec() {
        try {
            serializer = new TSerializer(new TCompactProtocol.Factory());
            deserializer = new TDeserializer(new TCompactProtocol.Factory());
        } catch (TException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot create the codec of peer messages", e);
        }
    }

    /** Returns whether a datagram holds a message and not a report. */
    public static boolean isMessage(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == MARK;
    }

    /** Encodes a request for a permit. */
    public byte[] encode(long id, PermitRequest request) {
        return encode(new PeerMessage(id).setPermitRequest(RateReportCodec.encode(request.rate())));
    }

    /** Encodes the reply to a request for a permit. */
    public byte[] encode(long id, PermitReply reply) {
        return encode(new PeerMessage(id)
                .setPermitReply(
                        new PermitReplyMessage(reply.granted(), reply.waitMs(), RateReportCodec.encode(reply.rate()))));
    }

    /** Encodes where the stream of an attempt begins. */
    public byte[] encode(String attempt, StreamOrigin origin) {
        return encode(new PeerMessage(0)
                .setStreamOrigin(new StreamOriginMessage(attempt, origin.service(), origin.version())));
    }

    /** Encodes the question where the stream of an attempt began. */
    public byte[] encode(long id, String attempt, String service) {
        return encode(new PeerMessage(id).setOriginRequest(new OriginRequestMessage(attempt, service)));
    }

    /** Encodes the reply to such a question. */
    public byte[] encode(long id, OriginReply reply) {
        OriginReplyMessage m = new OriginReplyMessage();
        reply.origin().ifPresent(o -> m.setServiceName(o.service()).setSoftwareVersion(o.version()));
        reply.onlyVersion().ifPresent(m::setOnlyVersion);
        if (reply.severalVersions()) {
            m.setSeveralVersions(true);
        }
        return encode(new PeerMessage(id).setOriginReply(m));
    }

    /** Encodes the load of a host. */
    public byte[] encode(HostLoad load) {
        return encode(new PeerMessage(0).setHostLoad(LoadMessageCodec.encode(load)));
    }

    /** Encodes the sums of the loads of many hosts. */
    public byte[] encode(FleetLoad load) {
        return encode(new PeerMessage(0).setFleetLoad(LoadMessageCodec.encode(load)));
    }

    private byte[] encode(PeerMessage message) {
        try {
            byte[] content = serializer.serialize(message);
            byte[] datagram = new byte[content.length + 1];
            datagram[0] = MARK;
            System.arraycopy(content, 0, datagram, 1, content.length);
            return datagram;
        } catch (TException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot encode the peer message", e);
        }
    }

    /** Decodes a message for a handler; throws {@link WireException} when the bytes are truncated or a field is invalid. */
    public void decode(byte[] datagram, PeerMessageHandler handler) {
        PeerMessage m = new PeerMessage();
        try {
            deserializer.deserialize(m, datagram, 1, datagram.length - 1);
            m.validate();
        } catch (TException | RuntimeException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot decode the peer message", e);
        }
        if (m.isSetPermitRequest()) {
            handler.onPermitRequest(m.getId(), new PermitRequest(RateReportCodec.decode(m.getPermitRequest())));
        }
        if (m.isSetPermitReply()) {
            PermitReplyMessage reply = m.getPermitReply();
            handler.onPermitReply(
                    m.getId(),
                    new PermitReply(
                            reply.isGranted(),
                            Math.max(0, reply.getWaitMillis()),
                            RateReportCodec.decode(reply.getRate())));
        }
        decodeOrigins(m, handler);
        decodeLoads(m, handler);
    }

    private static void decodeLoads(PeerMessage m, PeerMessageHandler handler) {
        HostLoad host = null;
        FleetLoad fleet = null;
        try {
            host = m.isSetHostLoad() ? LoadMessageCodec.decode(m.getHostLoad()) : null;
            fleet = m.isSetFleetLoad() ? LoadMessageCodec.decode(m.getFleetLoad()) : null;
        } catch (RuntimeException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "lists of the load message do not fit", e);
        }
        if (host != null) {
            handler.onHostLoad(host);
        }
        if (fleet != null) {
            handler.onFleetLoad(fleet);
        }
    }

    private static void decodeOrigins(PeerMessage m, PeerMessageHandler handler) {
        if (m.isSetStreamOrigin()) {
            StreamOriginMessage told = m.getStreamOrigin();
            handler.onStreamOrigin(
                    told.getAttempt(), new StreamOrigin(told.getServiceName(), told.getSoftwareVersion()));
        }
        if (m.isSetOriginRequest()) {
            OriginRequestMessage request = m.getOriginRequest();
            handler.onOriginRequest(m.getId(), request.getAttempt(), request.getServiceName());
        }
        if (m.isSetOriginReply()) {
            handler.onOriginReply(m.getId(), decode(m.getOriginReply()));
        }
    }

    private static OriginReply decode(OriginReplyMessage m) {
        Optional<StreamOrigin> origin = m.isSetServiceName() && m.isSetSoftwareVersion()
                ? Optional.of(new StreamOrigin(m.getServiceName(), m.getSoftwareVersion()))
                : Optional.empty();
        return new OriginReply(origin, Optional.ofNullable(m.getOnlyVersion()), m.isSeveralVersions());
    }
}
