package org.dragonflygw.wire.codec;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.dragonflygw.core.crash.StoredCrashes;
import org.dragonflygw.wire.hosts.CrashRowMessage;

/** Encodes and decodes {@link CrashRow}s in the compact Thrift protocol. Not thread-safe: use one codec per thread. */
public final class CrashRowCodec {
    private final TSerializer serializer;
    private final TDeserializer deserializer;

    public CrashRowCodec() {
        try {
            serializer = new TSerializer(new TCompactProtocol.Factory());
            deserializer = new TDeserializer(new TCompactProtocol.Factory());
        } catch (TException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot create the codec of crash rows", e);
        }
    }

    /** Encodes a row; throws {@link WireException} when Thrift rejects it. */
    public byte[] encode(CrashRow row) {
        try {
            CrashRowMessage m = new CrashRowMessage(
                    row.writtenMs(),
                    row.content().requests().stream()
                            .map(CrashReportCodec::encode)
                            .toList());
            m.setPartSuspects(PartReportCodec.encode(row.content().parts(), true));
            m.setUnreadPartSuspects(PartReportCodec.encode(row.content().parts(), false));
            return serializer.serialize(m);
        } catch (TException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot encode the crash row", e);
        }
    }

    /** Decodes a row; throws {@link WireException} when the bytes are truncated or a field is invalid. */
    public CrashRow decode(byte[] bytes) {
        CrashRowMessage m = new CrashRowMessage();
        try {
            deserializer.deserialize(m, bytes);
            m.validate();
            StoredCrashes content = new StoredCrashes(
                    m.getSuspects().stream().map(CrashReportCodec::decode).toList(),
                    PartReportCodec.decode(m.getPartSuspects(), m.getUnreadPartSuspects()));
            return new CrashRow(m.getWrittenMillis(), content);
        } catch (TException | RuntimeException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot decode the crash row", e);
        }
    }
}
