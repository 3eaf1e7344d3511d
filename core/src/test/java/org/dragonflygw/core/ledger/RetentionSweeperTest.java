package org.dragonflygw.core.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RetentionSweeperTest {
    private static final Duration RETENTION = Duration.ofDays(3);

    private final LedgerFixture fixture = new LedgerFixture();
    private final LedgerFixture.Daemon daemon = fixture.daemon("d1");
    private final RetentionSweeper sweeper =
            new RetentionSweeper(fixture.store, fixture.store, fixture.clock, "peachtree", RETENTION.toMillis(), 0);

    private int sweepAll() {
        int deleted = 0;
        for (int i = 0; i < SubmissionKeys.BUCKETS; i++) {
            deleted += sweeper.sweepPage();
        }
        return deleted;
    }

    @Test
    void deletesOnlyExpiredRowsAndClearsTheirObjects() {
        daemon.claimFreeKey("old").complete(new StoredAnswer(200, List.of(), Optional.of(new byte[5_000])));
        fixture.advance(RETENTION.toMillis());
        daemon.claimFreeKey("new");
        assertThat(sweepAll()).isEqualTo(1);
        assertThat(fixture.store.rows.keySet()).containsExactly(SubmissionKeys.rowKey("peachtree", "clerks", "new"));
        assertThat(fixture.store.objects.values().iterator().next()).isEmpty();
    }
}
