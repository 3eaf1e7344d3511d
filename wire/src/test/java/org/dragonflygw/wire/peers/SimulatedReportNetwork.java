package org.dragonflygw.wire.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.dragonflygw.core.lease.MonotonicClock;

/** Carries datagrams between simulated hosts on virtual time; loses, repeats and reorders them as told. */
final class SimulatedReportNetwork implements MonotonicClock {
    static final int STEP_MS = 20;
    private static final int MIN_DELAY_MS = 1;

    final SplittableRandom random;
    final List<SimulatedReportHost> hosts = new ArrayList<>();
    double lossRate;
    double repeatRate;
    int maxDelayMs = 5;

    private final PriorityQueue<Datagram> underWay =
            new PriorityQueue<>(Comparator.comparingLong(Datagram::arrivalMs).thenComparingLong(Datagram::number));
    private long nowMs = 1_000_000;
    private long datagrams;

    SimulatedReportNetwork(long seed) {
        this.random = new SplittableRandom(seed);
    }

    @Override
    public long nanos() {
        return nowMs * 1_000_000;
    }

    long nowMs() {
        return nowMs;
    }

    /** Sends a datagram; the delivery is run if it arrives and both hosts are up and connected at that time. */
    void send(SimulatedReportHost from, SimulatedReportHost to, int bytes, Runnable delivery) {
        from.traffic.onSent(bytes);
        if (random.nextDouble() < lossRate) {
            return;
        }
        int copies = random.nextDouble() < repeatRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long arrivalMs = nowMs + MIN_DELAY_MS + random.nextInt(maxDelayMs);
            underWay.add(new Datagram(arrivalMs, datagrams++, from, to, bytes, delivery));
        }
    }

    /** Advances the time; the task runs after each step. */
    void run(int ms, Runnable task) {
        long endMs = nowMs + ms;
        while (nowMs < endMs) {
            long stepEndMs = nowMs + STEP_MS;
            while (!underWay.isEmpty() && underWay.peek().arrivalMs() <= stepEndMs) {
                Datagram d = underWay.poll();
                nowMs = Math.max(nowMs, d.arrivalMs());
                if (d.to().alive && d.from().side == d.to().side) {
                    d.to().traffic.onReceived(d.bytes());
                    d.delivery().run();
                }
            }
            nowMs = stepEndMs;
            hosts.forEach(SimulatedReportHost::step);
            task.run();
        }
    }

    private record Datagram(
            long arrivalMs,
            long number,
            SimulatedReportHost from,
            SimulatedReportHost to,
            int bytes,
            Runnable delivery) {}
}
