package org.dragonflygw.core.limits;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.config.Team;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class TeamRateLimiterTest {
    private static final Team LIMITED = new Team("limited", "", 1, 50, 10);

    private final MutableClock clock = MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);
    private final TeamRateSteward steward = new TeamRateSteward(16, clock);
    private boolean reachable = true;

    @Test
    void enforcesRateAcrossDaemons() {
        List<TeamRateLimiter> daemons = daemons(6);
        int admitted = run(daemons, 20);
        assertThat(admitted).isAtMost(20 * 50 + 60);
        assertThat(admitted).isAtLeast(20 * 50 * 9 / 10);
    }

    @Test
    void dividesRateAmongDaemonsWhileStewardIsUnreachable() {
        reachable = false;
        int admitted = run(daemons(6), 20);
        assertThat(admitted).isAtMost(20 * 50 + 60);
        assertThat(admitted).isAtLeast(20 * 50 * 9 / 10);
    }

    @Test
    void returnsRetryDelayWhenNoTokenIsLeft() {
        TeamRateLimiter limiter = daemons(1).get(0);
        long retryAfterMs = 0;
        for (int i = 0; i < 200 && retryAfterMs == 0; i++) {
            retryAfterMs = limiter.acquire(LIMITED);
        }
        assertThat(retryAfterMs).isIn(com.google.common.collect.Range.closed(1L, 20L));
    }

    @Test
    void doesNotLimitTeamWithoutRate() {
        reachable = false;
        assertThat(daemons(1).get(0).acquire(new Team("free", "", 1, 0, 0))).isEqualTo(0);
    }

    @Test
    void stewardEvictsBucketsBeyondTheMaximum() {
        for (int i = 0; i < 40; i++) {
            steward.take(new Team("t" + i, "", 1, 5, 0), 1);
        }
        assertThat(steward.size()).isEqualTo(16);
    }

    private int run(List<TeamRateLimiter> daemons, int seconds) {
        int admitted = 0;
        for (int tick = 0; tick < seconds * 100; tick++) {
            clock.add(Duration.ofMillis(10));
            for (TeamRateLimiter daemon : daemons) {
                admitted += daemon.acquire(LIMITED) == 0 ? 1 : 0;
            }
        }
        return admitted;
    }

    private List<TeamRateLimiter> daemons(int count) {
        TeamTokenSource source =
                (team, wanted) -> reachable ? Optional.of(steward.take(team, wanted)) : Optional.empty();
        List<TeamRateLimiter> daemons = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            daemons.add(new TeamRateLimiter(source, () -> count, clock));
        }
        return daemons;
    }
}
