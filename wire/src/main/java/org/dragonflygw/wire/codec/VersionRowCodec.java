package org.dragonflygw.wire.codec;

import java.util.Collection;
import java.util.List;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.dragonflygw.wire.hosts.VersionRowMessage;

/**
 * Encodes and decodes the rows that hold the software versions of a service, in the compact Thrift protocol. Not
 * thread-safe: use one codec per thread.
 */
public final class VersionRowCodec {
    private final TSerializer serializer;
    private final TDeserializer deserializer;

    public VersionRowCodec() {
        try {
            serializer = new TSerializer(new TCompactProtocol.Factory());
            deserializer = new TDeserializer(new TCompactProtocol.Factory());
        } catch (TException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot create the codec of version rows", e);
        }
    }

    /** Encodes a row. */
    public byte[] encode(Collection<String> versions) {
        try {
            return serializer.serialize(new VersionRowMessage(List.copyOf(versions)));
        } catch (TException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot encode the version row", e);
        }
    }

    /** Decodes a row; throws {@link WireException} when the bytes are truncated or a field is invalid. */
    public List<String> decode(byte[] bytes) {
        VersionRowMessage m = new VersionRowMessage();
        try {
            deserializer.deserialize(m, bytes);
            m.validate();
            return List.copyOf(m.getVersions());
        } catch (TException | RuntimeException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "cannot decode the version row", e);
        }
    }
}
