package org.dragonflygw.core.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RetentionSweeperTest {
    private static final Duration RETENTION = Duration.ofDays(3);

    private final LedgerFixture bench = new LedgerFixture();
    private final LedgerFixture.Daemon daemon = bench.daemon("d1");
    private final RetentionSweeper sweeper =
            new RetentionSweeper(bench.store, bench.store, bench.clock, "peachtree", RETENTION.toMillis(), 0);

    private int sweepAll() {
        int deleted = 0;
        for (int i = 0; i < SubmissionKeys.BUCKETS; i++) {
            deleted += sweeper.sweepPage();
        }
        return deleted;
    }

    @Test
    void deletesOnlyWhatHasExpired() {
        daemon.hold("old").complete(new StoredAnswer(200, List.of(), Optional.of(new byte[5_000])));
        bench.advance(RETENTION.toMillis());
        daemon.hold("new");
        assertThat(sweepAll()).isEqualTo(1);
        assertThat(bench.store.rows.keySet()).containsExactly(SubmissionKeys.rowKey("peachtree", "clerks", "new"));
        assertThat(bench.store.objects.values().iterator().next()).isEmpty();
    }
}
