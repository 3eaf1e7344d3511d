package org.dragonflygw.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class RequestTimesTest {
    private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

    @Test
    void steadyRequestsCountForNearlyAWindow() {
        RequestTimes times = new RequestTimes();
        for (int ms = 0; ms < 30_000; ms += 10) {
            times.add(ms * MS, WINDOW);
        }
        assertThat(times.leastCounted(30_000 * MS, WINDOW)).isAtLeast(970);
        assertThat(times.leastCounted(30_000 * MS, WINDOW)).isAtMost(1_000);
    }

    @Test
    void requestsOlderThanTwoWindowsDoNotCount() {
        RequestTimes times = new RequestTimes();
        times.add(0, WINDOW);
        assertThat(times.leastCounted(2 * WINDOW + MS, WINDOW)).isEqualTo(0);
    }

    /** Guards against retries that were allowed by requests which the window they fall into does not count. */
    @Property(tries = 200, seed = "20261204")
    void noWindowThatIncludesThePresentCountsLess(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RequestTimes times = new RequestTimes();
        List<Long> all = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(random.nextInt(20) == 0 ? 3_000 : 50) * MS;
            times.add(now, WINDOW);
            all.add(now);
        }
        int counted = times.leastCounted(now, WINDOW);
        for (long start = now - WINDOW + 1; start <= now; start += 20 * MS) {
            int most = Math.max(
                    between(all, start, start + WINDOW),
                    Math.max(
                            between(all, start - WINDOW / 2, start + WINDOW / 2), between(all, start - WINDOW, start)));
            assertThat(counted).isAtMost(most);
        }
    }

    private static int between(List<Long> all, long from, long to) {
        return (int) all.stream().filter(t -> t >= from && t < to).count();
    }
}
