package org.dragonflygw.edge.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import org.dragonflygw.core.log.LogTopic;
import org.junit.jupiter.api.Test;

final class JsonLogTest {
    private static final InstantSource CLOCK = InstantSource.fixed(Instant.EPOCH);

    @Test
    void writesOneJsonObjectPerLine() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonLog log = new JsonLog(out, CLOCK, "host-1")) {
            log.line(LogTopic.REFUSE)
                    .with("request", "a\"b")
                    .with("expectedMs", 5)
                    .end();
        }
        assertThat(out.toString(StandardCharsets.UTF_8))
                .isEqualTo("{\"time\":\"1970-01-01T00:00:00Z\",\"host\":\"host-1\",\"topic\":\"REFUSE\","
                        + "\"request\":\"a\\\"b\",\"expectedMs\":5}\n");
    }

    /** Guards against text of a store row or a message that no encoding can hold and that fails whoever logs it. */
    @Test
    void escapesCharactersThatCannotBeEncoded() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonLog log = new JsonLog(out, CLOCK, "host-1")) {
            log.line(LogTopic.ENDPOINT)
                    .with("endpoint", "a\ud83d")
                    .with("zone", "\ude00b")
                    .end();
        }
        assertThat(out.toString(StandardCharsets.UTF_8)).endsWith("\"endpoint\":\"a\\uD83D\",\"zone\":\"\\uDE00b\"}\n");
    }

    @Test
    void dropsLinesInsteadOfBlockingWhenTheOutputBlocks() {
        CountDownLatch never = new CountDownLatch(1);
        OutputStream stuck = new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                try {
                    never.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        };
        JsonLog log = new JsonLog(stuck, CLOCK, "host-1");
        for (int i = 0; i < 20_000; i++) {
            log.line(LogTopic.DISPATCH).with("request", "id-" + i).end();
        }
        assertThat(log.droppedLines()).isGreaterThan(0L);
        never.countDown();
    }
}
