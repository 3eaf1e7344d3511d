package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Test;

final class ArchiveTrainingTest {
    /** The whole program against the stand-in of the platform: store, discovery, keys, streams and plain answers. */
    @Test
    void servesAllRequestsWithAKnownKey() throws IOException, InterruptedException {
        assertThat(ArchiveTraining.run(new NoOpEventLog())).isEqualTo(54);
    }
}
