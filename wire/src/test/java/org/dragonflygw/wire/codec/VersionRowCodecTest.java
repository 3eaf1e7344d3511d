package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

final class VersionRowCodecTest {
    private final VersionRowCodec codec = new VersionRowCodec();

    @Test
    void decodedRowEqualsTheEncodedOne() {
        for (List<String> versions : List.of(List.<String>of(), List.of("v1"), List.of("v1", "v1.1"))) {
            assertThat(codec.decode(codec.encode(versions))).isEqualTo(versions);
        }
    }

    @Test
    void truncatedRowIsRejectedAtEveryLength() {
        byte[] whole = codec.encode(List.of("v1", "v1.1"));
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(WireException.class, () -> codec.decode(truncated));
        }
    }
}
