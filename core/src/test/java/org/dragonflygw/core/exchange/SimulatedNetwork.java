package org.dragonflygw.core.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflygw.core.ManualMonotonicClock;

/**
 * Virtual time, and the messages between simulated hosts: each takes a millisecond, and may be lost. Hosts have the names
 * h0, h1 and so on.
 */
final class SimulatedNetwork {
    private static final int ROUND_MS = 200;
    private static final int NETWORK_MS = 1;

    final ManualMonotonicClock clock = new ManualMonotonicClock();
    final SplittableRandom random;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private double messageLoss;
    private long nextOrder;
    private long nowMs;

    private record Event(long atMs, long order, Runnable action) {}

    SimulatedNetwork(long seed) {
        random = new SplittableRandom(seed);
        after(0, this::reportRound);
    }

    void messageLoss(double ratio) {
        messageLoss = ratio;
    }

    long nowMs() {
        return nowMs;
    }

    List<SimulatedHost> hosts() {
        return hosts;
    }

    SimulatedHost named(String host) {
        return hosts.get(Integer.parseInt(host.substring(1)));
    }

    void run(long millis) {
        long until = nowMs + millis;
        while (!events.isEmpty() && events.peek().atMs <= until) {
            Event e = events.poll();
            advanceTo(e.atMs);
            e.action.run();
        }
        advanceTo(until);
    }

    private void advanceTo(long ms) {
        clock.advanceMs(ms - nowMs);
        nowMs = ms;
    }

    void after(long ms, Runnable action) {
        events.add(new Event(nowMs + ms, nextOrder++, action));
    }

    private void reportRound() {
        List.copyOf(hosts).forEach(SimulatedHost::report);
        after(ROUND_MS, this::reportRound);
    }

    /** Delivers a message, unless it is lost or one of the hosts is down or cut off. */
    void deliver(SimulatedHost from, SimulatedHost to, Runnable action) {
        if (!from.reaches(to) || random.nextDouble() < messageLoss) {
            return;
        }
        after(NETWORK_MS, () -> {
            if (from.reaches(to)) {
                action.run();
            }
        });
    }

    /** Asks a host; the listener receives the answer, or nothing after the timeout. */
    <T> void ask(SimulatedHost from, String host, Supplier<T> answer, long timeoutMs, Consumer<Optional<T>> listener) {
        SimulatedHost to = named(host);
        Reply<T> reply = new Reply<>(from, listener);
        deliver(from, to, () -> {
            T given = answer.get();
            deliver(to, from, () -> reply.end(Optional.of(given)));
        });
        after(timeoutMs, () -> reply.end(Optional.empty()));
    }

    /** Waits for one reply, and takes the first one only. */
    private static final class Reply<T> {
        private final SimulatedHost asker;
        private final Consumer<Optional<T>> listener;
        private boolean ended;

        Reply(SimulatedHost asker, Consumer<Optional<T>> listener) {
            this.asker = asker;
            this.listener = listener;
        }

        void end(Optional<T> reply) {
            if (!ended && asker.alive) {
                ended = true;
                listener.accept(reply);
            }
        }
    }
}
