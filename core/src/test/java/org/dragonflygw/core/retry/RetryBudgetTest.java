package org.dragonflygw.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class RetryBudgetTest {
    private final MutableClock clock = MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);

    @Test
    void limitsRetriesToAShareOfTheRequests() {
        RetryBudget budget = new RetryBudget(10, clock);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.onRequest();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isIn(com.google.common.collect.Range.closed(90, 102));
    }

    @Test
    void savesAtMostTenRetries() {
        RetryBudget budget = new RetryBudget(10, clock);
        for (int i = 0; i < 10_000; i++) {
            budget.onRequest();
        }
        int retries = 0;
        while (budget.tryRetry()) {
            retries++;
        }
        assertThat(retries).isEqualTo(10);
    }

    @Test
    void retryBecomesAvailableWithoutRequests() {
        RetryBudget budget = new RetryBudget(10, clock);
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isFalse();
        clock.add(Duration.ofSeconds(101));
        assertThat(budget.tryRetry()).isTrue();
    }

    @Test
    void zeroPercentAllowsNoRetry() {
        assertThat(new RetryBudget(0, clock).tryRetry()).isFalse();
    }
}
