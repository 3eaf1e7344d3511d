package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.core.crash.CrashSuspect;
import org.dragonflygw.core.crash.PartSuspect;
import org.dragonflygw.core.crash.StoredCrashes;
import org.junit.jupiter.api.Test;

final class CrashRowCodecTest {
    private final CrashRowCodec codec = new CrashRowCodec();

    @Test
    void decodesWhatItEncoded() {
        StoredCrashes content = new StoredCrashes(
                List.of(new CrashSuspect(7, Set.of("e1#1", "e2#5"), 40)),
                List.of(new PartSuspect(-9, Map.of("e3#1", new PartSuspect.Loss(800, 300)))));
        CrashRow row = new CrashRow(1_700_000_000_000L, content);
        assertThat(codec.decode(codec.encode(row))).isEqualTo(row);
    }

    /** Guards against a row of another writer that ends the reading of the others. */
    @Test
    void rejectsOtherBytesWithACodedError() {
        assertThrows(WireException.class, () -> codec.decode(new byte[] {1, 2, 3}));
        assertThrows(WireException.class, () -> codec.decode(new byte[0]));
    }
}
