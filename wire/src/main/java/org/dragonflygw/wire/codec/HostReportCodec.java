package org.dragonflygw.wire.codec;

import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.dragonflygw.core.dispatch.LeavingEndpoint;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.peers.EndpointUse;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PromptHolding;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.wire.hosts.EndpointUseMessage;
import org.dragonflygw.wire.hosts.HostReportMessage;
import org.dragonflygw.wire.hosts.LeavingEndpointMessage;
import org.dragonflygw.wire.hosts.PromptHoldingMessage;
import org.dragonflygw.wire.hosts.PromptPartMessage;

/** Encodes and decodes host reports in the compact Thrift protocol. Not thread-safe: use one codec per thread. */
public final class HostReportCodec {
    /** The wire carries failure scores as integers in hundredths. */
    private static final double HUNDREDTHS = 100;

    private final TSerializer serializer;
    private final TDeserializer deserializer;

    public HostReportCodec() {
        try {
            serializer = new TSerializer(new TCompactProtocol.Factory());
            deserializer = new TDeserializer(new TCompactProtocol.Factory());
        } catch (TException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot create the codec of host reports", e);
        }
    }

    /** Encodes a report; throws {@link WireException} when Thrift rejects the report. */
    public byte[] encode(HostReport report) {
        List<EndpointUseMessage> uses = new ArrayList<>();
        report.uses().forEach(u -> uses.add(encode(u)));
        List<PromptHoldingMessage> holdings = new ArrayList<>();
        for (PromptHolding h : report.holdings()) {
            List<PromptPartMessage> parts = new ArrayList<>();
            h.parts().forEach(p -> parts.add(new PromptPartMessage(p.id(), p.tokens())));
            holdings.add(new PromptHoldingMessage(h.endpoint(), parts));
        }
        HostReportMessage message = new HostReportMessage(
                report.host(),
                report.address().ip(),
                report.address().port(),
                report.startedMs(),
                report.sequence(),
                uses,
                holdings,
                StoreNewsCodec.encode(report.news()),
                CrashReportCodec.encodeSuspects(report.crashes()));
        CrashReportCodec.setOptional(message, report.crashes());
        PartReportCodec.set(message, report.parts());
        if (!report.leaving().isEmpty()) {
            message.setLeaving(
                    report.leaving().stream().map(HostReportCodec::encode).toList());
        }
        if (!report.rates().isEmpty()) {
            message.setRates(
                    report.rates().stream().map(RateReportCodec::encode).toList());
        }
        try {
            return serializer.serialize(message);
        } catch (TException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot encode the host report", e);
        }
    }

    private static LeavingEndpointMessage encode(LeavingEndpoint leaving) {
        return new LeavingEndpointMessage(leaving.id(), leaving.startedMs(), leaving.ageMs());
    }

    private static List<LeavingEndpoint> decodeLeaving(HostReportMessage m) {
        if (!m.isSetLeaving()) {
            return List.of();
        }
        return m.getLeaving().stream()
                .map(l -> new LeavingEndpoint(l.getId(), l.getStartedMillis(), Math.max(0, l.getAgeMillis())))
                .toList();
    }

    private static EndpointUseMessage encode(EndpointUse use) {
        EndpointUseMessage m = new EndpointUseMessage(use.endpoint(), use.inFlight(), use.unreadTokens());
        int hundredths = (int) Math.round(use.failureScore() * HUNDREDTHS);
        return hundredths > 0 ? m.setFailureHundredths(hundredths) : m;
    }

    private static EndpointUse decode(EndpointUseMessage m) {
        double failures = m.isSetFailureHundredths() ? Math.max(0, m.getFailureHundredths()) / HUNDREDTHS : 0;
        return new EndpointUse(m.getEndpoint(), m.getInFlight(), m.getUnreadTokens(), failures);
    }

    /** Decodes a report; throws {@link WireException} when the bytes are truncated or a field is invalid. */
    public HostReport decode(byte[] bytes) {
        HostReportMessage m = new HostReportMessage();
        try {
            deserializer.deserialize(m, bytes);
            m.validate();
            return decode(m);
        } catch (TException | RuntimeException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot decode the host report", e);
        }
    }

    private static HostReport decode(HostReportMessage m) {
        List<EndpointUse> uses = new ArrayList<>();
        m.getUses().forEach(u -> uses.add(decode(u)));
        List<PromptHolding> holdings = new ArrayList<>();
        for (PromptHoldingMessage h : m.getHoldings()) {
            List<PromptPart> parts = new ArrayList<>();
            h.getParts().forEach(p -> parts.add(new PromptPart(p.getId(), p.getTokens())));
            holdings.add(new PromptHolding(h.getEndpoint(), parts));
        }
        HostAddress address = new HostAddress(m.getIp(), m.getPort());
        return new HostReport(
                m.getHost(),
                address,
                m.getStartedMillis(),
                m.getSequence(),
                uses,
                holdings,
                CrashReportCodec.decode(m),
                PartReportCodec.decode(m),
                decodeLeaving(m),
                m.isSetRates()
                        ? m.getRates().stream().map(RateReportCodec::decode).toList()
                        : List.of(),
                StoreNewsCodec.decode(m.getNews()));
    }
}
