package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.dragonflygw.core.crash.CrashSuspect;
import org.dragonflygw.core.crash.PartSuspect;
import org.dragonflygw.core.crash.StoredCrashes;
import org.dragonflygw.wire.hosts.CrashRowMessage;
import org.junit.jupiter.api.Test;

final class CrashRowCodecTest {
    private final CrashRowCodec codec = new CrashRowCodec();

    @Test
    void decodesWhatItEncoded() {
        StoredCrashes content = new StoredCrashes(
                List.of(new CrashSuspect(7, Set.of("e1#1", "e2#5"), 40)),
                List.of(
                        new PartSuspect(
                                -9,
                                Map.of(
                                        "e3#1", new PartSuspect.Loss(800, 300, true, 0.1),
                                        "e4#1", new PartSuspect.Loss(700, 200, false, 0.25))),
                        new PartSuspect(8, Map.of("e3#1", new PartSuspect.Loss(900, 300, false, 0.5)))));
        CrashRow row = new CrashRow(1_700_000_000_000L, content);
        assertThat(codec.decode(codec.encode(row)).content().parts()).containsExactlyElementsIn(content.parts());
        assertThat(codec.decode(codec.encode(row)).content().requests()).isEqualTo(content.requests());
        assertThat(codec.decode(codec.encode(row)).writtenMs()).isEqualTo(row.writtenMs());
    }

    /** Guards against earlier builds that take a loss of which nothing was read for one of a response that was beginning. */
    @Test
    void keepsUnreadLossesOutOfTheFieldThatEarlierBuildsRead() throws Exception {
        StoredCrashes content = new StoredCrashes(
                List.of(), List.of(new PartSuspect(8, Map.of("e3#1", new PartSuspect.Loss(900, 300, false, 0.5)))));
        CrashRowMessage message = new CrashRowMessage();
        new TDeserializer(new TCompactProtocol.Factory())
                .deserialize(message, codec.encode(new CrashRow(1_700_000_000_000L, content)));
        assertThat(message.getPartSuspects()).isEmpty();
        assertThat(message.getUnreadPartSuspects()).hasSize(1);
    }

    /** Guards against a row of another writer that ends the reading of the others. */
    @Test
    void rejectsOtherBytesWithACodedError() {
        assertThrows(WireException.class, () -> codec.decode(new byte[] {1, 2, 3}));
        assertThrows(WireException.class, () -> codec.decode(new byte[0]));
    }
}
