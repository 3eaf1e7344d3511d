package org.dragonflygw.bench.timeline;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.dragonflygw.core.timeline.EventFilter;
import org.dragonflygw.core.timeline.EventKey;
import org.dragonflygw.core.timeline.EventRing;
import org.dragonflygw.core.timeline.HybridClock;
import org.dragonflygw.core.timeline.RingUsage;

/**
 * Measures the timeline: time and bytes per event, and the history that a ring of 8 MB holds at 15 requests per
 * second. Prints CSV rows {@code name,value,unit}.
 */
public final class TimelineMain {
    private static final int RING_BYTES = 8 << 20;
    private static final int WARM_UP_REQUESTS = 100_000;
    private static final int REQUESTS = 400_000;
    private static final int THREADS = 4;
    private static final double REQUESTS_PER_SECOND = 15;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final double SECONDS_PER_MINUTE = 60;

    private TimelineMain() {}

    public static void main(String[] arguments) throws InterruptedException {
        run(newRing(), WARM_UP_REQUESTS);
        EventRing ring = newRing();
        double oneThreadMicros = run(ring, REQUESTS);
        RingUsage usage = ring.usage();
        double bytesPerEvent = (double) usage.usedBytes() / usage.events();
        double requestsHeld = (double) usage.events() / RequestEvents.EVENTS_PER_REQUEST;
        print("timeline.events.per.request", RequestEvents.EVENTS_PER_REQUEST, "events");
        print("timeline.record.one.thread", oneThreadMicros, "microseconds/event");
        print("timeline.record.four.threads", runThreads(), "microseconds/event");
        print("timeline.bytes.per.event", bytesPerEvent, "bytes");
        print("timeline.minutes.held", requestsHeld / REQUESTS_PER_SECOND / SECONDS_PER_MINUTE, "minutes");
        print("timeline.read.by.request", readMillis(ring), "milliseconds");
    }

    private static EventRing newRing() {
        return new EventRing("router-a1", new HybridClock(Clock.systemUTC()), RING_BYTES);
    }

    private static double run(EventRing ring, int requests) {
        RequestEvents events = new RequestEvents(ring);
        long start = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            events.record(i);
        }
        long nanos = System.nanoTime() - start;
        return nanos / NANOS_PER_MICRO / requests / RequestEvents.EVENTS_PER_REQUEST;
    }

    private static double runThreads() throws InterruptedException {
        EventRing ring = newRing();
        double[] micros = new double[THREADS];
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            int index = i;
            threads.add(new Thread(() -> micros[index] = run(ring, REQUESTS / THREADS)));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        double sum = 0;
        for (double value : micros) {
            sum += value;
        }
        return sum / THREADS;
    }

    private static double readMillis(EventRing ring) {
        String newest = RequestEvents.requestId(REQUESTS - 1);
        ring.read(EventFilter.by(EventKey.REQUEST, newest), 1_000);
        long start = System.nanoTime();
        ring.read(EventFilter.by(EventKey.REQUEST, newest), 1_000);
        return (System.nanoTime() - start) / NANOS_PER_MILLI;
    }

    private static void print(String name, double value, String unit) {
        System.out.println(String.format(Locale.ROOT, "%s,%.3f,%s", name, value, unit));
    }
}
