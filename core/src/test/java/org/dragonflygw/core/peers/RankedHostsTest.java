package org.dragonflygw.core.peers;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Which hosts may be owners of limits. */
final class RankedHostsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long FIRST_REPORT = 5 * SECOND;

    private final RankedHosts ranked = new RankedHosts();

    /** Guards against hosts that ended long ago and are listed by the store for ever. */
    @Test
    void aListedHostThatNeverReportsCountsForAShortTime() {
        ranked.onListed("gone", 0);
        ranked.onHeard("alive", 0);
        assertThat(ranked.names(4 * SECOND, FIRST_REPORT)).containsExactly("gone", "alive");
        ranked.onListed("gone", 60 * SECOND);
        assertThat(ranked.names(61 * SECOND, FIRST_REPORT)).containsExactly("alive");
    }

    /** Guards against two sides of a cut that each replace the owners on the other side. */
    @Test
    void aHostThatWasHeardCountsForMinutes() {
        ranked.onHeard("cut", 0);
        ranked.onHeard("alive", 250 * SECOND);
        assertThat(ranked.names(250 * SECOND, FIRST_REPORT)).containsExactly("cut", "alive");
        ranked.onListed("cut", 301 * SECOND);
        assertThat(ranked.names(301 * SECOND, FIRST_REPORT)).containsExactly("alive");
        ranked.onHeard("cut", 302 * SECOND);
        assertThat(ranked.names(302 * SECOND, FIRST_REPORT)).containsExactly("cut", "alive");
    }

    /** Guards against a host that starts while it is cut off and takes itself for the only owner. */
    @Test
    void listedHostsCountForMinutesWhileNobodyIsHeard() {
        ranked.onListed("a", 0);
        ranked.onListed("b", 0);
        assertThat(ranked.names(290 * SECOND, FIRST_REPORT)).containsExactly("a", "b");
        assertThat(ranked.names(301 * SECOND, FIRST_REPORT)).isEmpty();
        ranked.onHeard("b", 302 * SECOND);
        assertThat(ranked.names(302 * SECOND, FIRST_REPORT)).containsExactly("b");
    }
}
