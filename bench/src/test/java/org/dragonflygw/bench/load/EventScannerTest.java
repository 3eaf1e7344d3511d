package org.dragonflygw.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class EventScannerTest {
    private static final String STREAM = """
            id: 0
            data: {"a":"id: 9"}

            : comment

            id: 1\r
            data: {}\r
            \r
            event: error
            data: {}

            data: [DONE]

            """;

    @Property(seed = "11", tries = 100)
    void chunksOfAnySizeGiveTheSameCount(@ForAll @IntRange(min = 1, max = 40) int size) {
        EventScanner scanner = new EventScanner();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        int tokens = 0;

        for (int from = 0; from < bytes.length; from += size) {
            tokens += scanner.scan(ByteBuffer.wrap(bytes, from, Math.min(size, bytes.length - from)));
        }

        assertThat(tokens).isEqualTo(2);
        assertThat(scanner.done()).isTrue();
    }

    @Test
    void streamWithoutEndMarkerIsNotDone() {
        EventScanner scanner = new EventScanner();

        scanner.scan(StandardCharsets.UTF_8.encode("id: 0\ndata: [DONE] not\n\ndata: [DON\n\n"));

        assertThat(scanner.done()).isFalse();
    }
}
