package org.dragonflygw.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ReportQueueTest {
    private final ReportQueue queue = new ReportQueue(3, 100);

    @Test
    void namesEachRequestAsOftenAsWanted() {
        queue.add(1);
        queue.add(2);
        assertThat(queue.next(f -> 2)).containsExactly(1L, 2L);
        assertThat(queue.next(f -> 2)).containsExactly(1L, 2L);
        assertThat(queue.next(f -> 2)).isEmpty();
    }

    @Test
    void namesNewRequestsBeforeThoseReportedBefore() {
        for (long f = 1; f <= 3; f++) {
            queue.add(f);
        }
        assertThat(queue.next(f -> 10)).containsExactly(1L, 2L, 3L);
        queue.add(4);
        assertThat(queue.next(f -> 10)).containsExactly(4L, 1L, 2L);
        assertThat(queue.next(f -> 10)).containsExactly(3L, 4L, 1L);
    }

    /** Guards against requests that wait for others in every report, so that peers never hear of them. */
    @Test
    void namesAllRequestsThoughEachReportIsFull() {
        for (long f = 1; f <= 30; f++) {
            queue.add(f);
        }
        List<Long> named = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            named.addAll(queue.next(f -> 2));
        }
        assertThat(named).hasSize(60);
        for (long f = 1; f <= 30; f++) {
            assertThat(named.indexOf(f)).isLessThan(30);
        }
    }

    @Test
    void dropsRequestsThatAreNoLongerWanted() {
        queue.add(1);
        queue.add(2);
        assertThat(queue.next(f -> f == 1 ? 5 : 0)).containsExactly(1L);
        assertThat(queue.next(f -> 0)).isEmpty();
        assertThat(queue.next(f -> 5)).isEmpty();
    }

    @Test
    void namesARequestWithNewsAgain() {
        queue.add(1);
        assertThat(queue.next(f -> 1)).containsExactly(1L);
        queue.add(1);
        assertThat(queue.next(f -> 1)).containsExactly(1L);
    }

    @Test
    void isBounded() {
        for (long f = 1; f <= 1_000; f++) {
            queue.add(f);
        }
        int named = 0;
        for (int i = 0; i < 1_000; i++) {
            named += queue.next(f -> 1).size();
        }
        assertThat(named).isEqualTo(100);
    }
}
