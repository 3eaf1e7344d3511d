package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.storage.RowPage;
import org.dragonflygw.core.storage.VersionedRow;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TableProgressTest {
    private final TableProgress progress = new TableProgress(new StoreEra(new NoOpEventLog(), () -> {}));

    private static VersionedRow row(String key, long version) {
        return new VersionedRow(key, new byte[0], version, false);
    }

    private static RowPage page(long newestVersion, boolean more, VersionedRow... rows) {
        return new RowPage(List.of(rows), newestVersion, more);
    }

    @Nested
    final class Changes {
        /** An outdated entry would put an endpoint back that left meanwhile. */
        @Test
        void dropRowsOlderThanNewsThatOvertookTheRead() {
            progress.onListingPage(page(10, false), 100);
            progress.advance(14, 300);
            VersionedRow newer = row("e2", 15);
            assertThat(progress.onChanges(page(15, false, row("e1", 12), newer), 200))
                    .containsExactly(newer);
            assertThat(progress.version()).isEqualTo(15);
            assertThat(progress.asOfNanos()).isEqualTo(300);
        }

        @Test
        void neverTakeTheVersionBack() {
            progress.onListingPage(page(10, false), 100);
            progress.advance(14, 300);
            assertThat(progress.onChanges(page(12, false, row("e1", 12)), 200)).isEmpty();
            assertThat(progress.version()).isEqualTo(14);
        }
    }

    @Nested
    final class Listing {
        /** Rows of the first page may have changed before the second page was read. */
        @Test
        void isCompleteUpToTheVersionOfTheFirstPage() {
            progress.onListingPage(page(10, true, row("e1", 3)), 100);
            assertThat(progress.listed()).isFalse();
            progress.onListingPage(page(12, false, row("e2", 11)), 200);
            assertThat(progress.listed()).isTrue();
            assertThat(progress.version()).isEqualTo(10);
        }

        /** Such a page names no key to go on from; reading on would never end. */
        @Test
        void endsAtAPageWithoutRows() {
            assertThat(progress.onListingPage(page(10, true, row("e1", 3)), 100))
                    .isFalse();
            assertThat(progress.onListingPage(page(12, true), 200)).isTrue();
            assertThat(progress.listed()).isTrue();
        }

        @Test
        void isRequiredAgainAfterLostHistory() {
            progress.onListingPage(page(10, false), 100);
            progress.requireListing();
            assertThat(progress.listed()).isFalse();
            progress.onListingPage(page(50, false), 200);
            assertThat(progress.version()).isEqualTo(50);
        }
    }
}
