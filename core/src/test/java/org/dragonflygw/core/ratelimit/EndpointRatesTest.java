package org.dragonflygw.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which of several statements about the limit of an endpoint holds. */
final class EndpointRatesTest {
    private final EndpointRates rates = new EndpointRates();
    private final EndpointRate rate = rates.of("e", 1);

    private boolean say(RateNotice notice, long sent, long heard) {
        return rate.accept(new RateStatement(notice, sent, heard), heard);
    }

    private boolean sayLimit(double limit, long sent, long heard) {
        return say(RateNotice.limited(limit), sent, heard);
    }

    @Nested
    final class InOrder {
        @Test
        void theLatestLimitHolds() {
            assertThat(sayLimit(4, 10, 20)).isTrue();
            assertThat(sayLimit(6, 30, 40)).isTrue();
            assertThat(rate.requestsPerSecond()).isEqualTo(6);
        }

        @Test
        void aResponseWithoutALimitEndsIt() {
            sayLimit(4, 10, 20);
            assertThat(say(RateNotice.UNLIMITED, 20, 30)).isTrue();
            assertThat(rate.isLimited()).isFalse();
        }

        @Test
        void anUnreadableLimitChangesNothing() {
            sayLimit(4, 10, 20);
            assertThat(say(RateNotice.UNREADABLE, 30, 40)).isFalse();
            assertThat(rate.requestsPerSecond()).isEqualTo(4);
        }

        @Test
        void anEndpointThatNeverNamedALimitHasNone() {
            assertThat(say(RateNotice.UNLIMITED, 10, 20)).isFalse();
            assertThat(rate.statement()).isEmpty();
            assertThat(rate.requestsPerSecond()).isEqualTo(Double.POSITIVE_INFINITY);
        }
    }

    @Nested
    final class OutOfOrder {
        /** Guards against a response from before the limit that arrives after the first one that names it. */
        @Test
        void aResponseToAnEarlierRequestDoesNotEndALimit() {
            sayLimit(4, 10, 20);
            say(RateNotice.UNLIMITED, 15, 30);
            assertThat(rate.requestsPerSecond()).isEqualTo(4);
        }

        @Test
        void theLowerLimitHoldsIfTheOrderIsUnknown() {
            sayLimit(4, 10, 20);
            sayLimit(3, 15, 30);
            sayLimit(5, 16, 31);
            assertThat(rate.requestsPerSecond()).isEqualTo(3);
        }

        @Test
        void anOlderStatementChangesNothing() {
            say(RateNotice.limited(4), 50, 60);
            say(RateNotice.UNLIMITED, 70, 80);
            assertThat(sayLimit(2, 10, 20)).isFalse();
            assertThat(rate.isLimited()).isFalse();
        }

        /** Guards against a late response to an unknown request, which may be as old as its connection. */
        @Test
        void aResponseToAnUnknownRequestOnlyLowersALimit() {
            sayLimit(4, 10, 20);
            say(RateNotice.UNLIMITED, RateStatement.UNKNOWN_SENT, 30);
            assertThat(rate.requestsPerSecond()).isEqualTo(4);
            sayLimit(2, RateStatement.UNKNOWN_SENT, 40);
            assertThat(rate.requestsPerSecond()).isEqualTo(2);
        }
    }

    @Test
    void anotherStartUnderTheSameIdHasItsOwnLimit() {
        sayLimit(4, 10, 20);
        assertThat(rates.of("e", 2).isLimited()).isFalse();
        assertThat(rates.of("e", 1).isLimited()).isTrue();
        assertThat(rates.limitedCount()).isEqualTo(1);
    }
}
