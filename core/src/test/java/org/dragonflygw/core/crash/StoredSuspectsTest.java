package org.dragonflygw.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Test;

final class StoredSuspectsTest {
    private static final CrashSuspect BLOCKED = new CrashSuspect(7, Set.of("a", "b", "c"), 0);
    private static final StoredCrashes ROW = new StoredCrashes(List.of(BLOCKED), List.of());

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final CrashSuspects crashes = new CrashSuspects(new NoOpEventLog());
    private boolean hearsMostPeers = true;
    private final StoredSuspects stored =
            new StoredSuspects("me", crashes, new CrashingParts(new NoOpEventLog()), () -> hearsMostPeers, clock);

    private void lose(String endpoint) {
        crashes.onConnectionLost(7, endpoint, clock.nanos());
    }

    @Test
    void writesNothingBeforeTheFirstRead() {
        List.of("a", "b", "c").forEach(this::lose);
        assertThat(stored.toWrite()).isEmpty();
        stored.onRowsRead();
        assertThat(stored.toWrite()).isPresent();
    }

    /** Guards against each of many hosts writing what one of them has found out. */
    @Test
    void writesWhatAnotherHostFoundOutOnlyIfNoRowNamesItInTime() {
        stored.onRowsRead();
        crashes.accept(new CrashReport(List.of(BLOCKED), List.of(), List.of()), clock.nanos());
        assertThat(stored.toWrite()).isEmpty();
        clock.advanceMs(3_001);
        assertThat(stored.toWrite()).isPresent();
        stored.onRow("other", ROW, 0);
        clock.advanceMs(1_000);
        assertThat(stored.toWrite()).isEmpty();
    }

    @Test
    void writesSingleLossesOnlyWhilePeersAreNotHeard() {
        stored.onRowsRead();
        lose("a");
        assertThat(stored.toWrite()).isEmpty();
        hearsMostPeers = false;
        assertThat(stored.toWrite()).isPresent();
    }

    /** Guards against new processes that all write what they have just read, since they have not heard their peers yet. */
    @Test
    void doesNotRepeatTheRowsOfOthersWhilePeersAreNotHeard() {
        hearsMostPeers = false;
        stored.onRow("other", ROW, 0);
        stored.onRowsRead();
        assertThat(crashes.remainingBlockNanos(7, clock.nanos())).isGreaterThan(0L);
        assertThat(stored.toWrite()).isEmpty();
    }

    @Test
    void writesAgainWhenWhatItNamesIsCleared() {
        stored.onRowsRead();
        List.of("a", "b", "c").forEach(this::lose);
        StoredCrashes written = stored.toWrite().orElseThrow();
        stored.onWritten(written);
        crashes.onCompleted(7, clock.nanos());
        clock.advanceMs(1_000);
        assertThat(stored.toWrite()).hasValue(StoredCrashes.NONE);
    }
}
