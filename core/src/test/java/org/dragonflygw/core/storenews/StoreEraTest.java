package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StoreEraTest {
    private int readAgain;
    private final StoreEra era = new StoreEra(new NoOpEventLog(), () -> readAgain++);

    @Test
    void firstEraIsNoNewOne() {
        assertThat(era.onSeen(StoreEra.UNKNOWN, "read")).isTrue();
        assertThat(era.onSeen(7, "read")).isTrue();
        assertThat(readAgain).isEqualTo(0);
        assertThat(era.current()).isEqualTo(7);
    }

    /** Guards against a first era of 0 that is taken for none, so that the first drill goes unnoticed. */
    @Test
    void erasMayBeginAtZero() {
        TableProgress progress = new TableProgress(era);
        progress.onReadSent();
        assertThat(progress.accepts(0)).isTrue();
        progress.onListingPage(new RowPage(List.of(), 100, false), 0);
        assertThat(progress.listed()).isTrue();
        progress.onReadSent();
        assertThat(progress.accepts(1)).isFalse();
        assertThat(progress.listed()).isFalse();
        assertThat(readAgain).isEqualTo(1);
    }

    @Test
    void laterEraRequiresToReadEverythingOnce() {
        era.onSeen(7, "read");
        assertThat(era.onSeen(8, "report")).isTrue();
        assertThat(era.onSeen(8, "read")).isTrue();
        assertThat(readAgain).isEqualTo(1);
    }

    @Test
    void earlierEraIsNotUsed() {
        era.onSeen(8, "read");
        assertThat(era.onSeen(7, "read")).isFalse();
        assertThat(era.current()).isEqualTo(8);
    }

    @Nested
    final class Reads {
        private final TableProgress progress = new TableProgress(era);

        private void list(long responseEra, long version) {
            progress.onReadSent();
            assertThat(progress.accepts(responseEra)).isTrue();
            progress.onListingPage(new RowPage(List.of(), version, false), 0);
        }

        /** Guards against versions that are given out again: the changes up to the old version would be skipped. */
        @Test
        void changesAfterAVersionOfTheEraBeforeAreNotUsed() {
            list(1, 100);
            progress.onReadSent();
            assertThat(progress.accepts(2)).isFalse();
            assertThat(progress.listed()).isFalse();
            list(2, 95);
            assertThat(progress.version()).isEqualTo(95);
            assertThat(progress.onChanges(new RowPage(List.of(row(96)), 96, false), 1))
                    .hasSize(1);
        }

        @Test
        void responseThatWasUnderWayIsNotUsed() {
            list(1, 100);
            progress.onReadSent();
            era.onSeen(2, "report");
            assertThat(progress.listed()).isFalse();
            assertThat(progress.accepts(1)).isFalse();
        }

        @Test
        void listingWhosePagesAreOfTwoErasBeginsAgain() {
            list(1, 100);
            progress.requireListing();
            progress.onReadSent();
            assertThat(progress.accepts(1)).isTrue();
            assertThat(progress.onListingPage(new RowPage(List.of(row(1)), 100, true), 0))
                    .isFalse();
            progress.onReadSent();
            assertThat(progress.accepts(2)).isFalse();
            list(2, 90);
            assertThat(progress.version()).isEqualTo(90);
        }

        private VersionedRow row(long version) {
            return new VersionedRow("k", new byte[0], version, false);
        }
    }
}
