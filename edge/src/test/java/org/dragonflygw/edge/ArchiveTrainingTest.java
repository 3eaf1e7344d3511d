package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Test;

final class ArchiveTrainingTest {
    /** Runs the whole router against the loopback platform: store, discovery, keys, streaming and plain responses. */
    @Test
    void servesAllRequestsWithAKnownKey() throws IOException, InterruptedException {
        assertThat(ArchiveTraining.run(new NoOpEventLog())).isEqualTo(54);
    }
}
