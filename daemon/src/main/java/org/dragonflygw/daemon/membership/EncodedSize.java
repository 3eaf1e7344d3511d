package org.dragonflygw.daemon.membership;

import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Computes the encoded sizes of messages between daemons. */
final class EncodedSize {
    private static final int CALL_AND_FRAME_BYTES = 24;

    private EncodedSize() {}

    /** Returns the size of a message including call header and frame, in bytes. */
    static int of(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length + CALL_AND_FRAME_BYTES;
        } catch (TException e) {
            throw new MembershipException(MembershipCode.ENCODING, "gossip message could not be encoded", e);
        }
    }
}
