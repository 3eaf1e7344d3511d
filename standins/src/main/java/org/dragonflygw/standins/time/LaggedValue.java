package org.dragonflygw.standins.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Iterator;

/** A value that readers see with a delay. Thread-safe. */
public final class LaggedValue<T> {
    private final InstantSource clock;
    private final ArrayDeque<Entry<T>> history = new ArrayDeque<>();
    private Duration lag;

    public LaggedValue(InstantSource clock, Duration lag, T initial) {
        this.clock = clock;
        this.lag = lag;
        history.add(new Entry<>(Instant.MIN, initial));
    }

    /** Sets the current value; readers see it after the lag. */
    public synchronized void set(T value) {
        Instant now = clock.instant();
        prune(now);
        history.addLast(new Entry<>(now, value));
    }

    /** Changes the lag of readers. */
    public synchronized void setLag(Duration newLag) {
        lag = newLag;
    }

    /** Returns the current value without lag. */
    public synchronized T latest() {
        return history.getLast().value();
    }

    /** Returns the value from before the lag. */
    public synchronized T read() {
        prune(clock.instant());
        return history.getFirst().value();
    }

    private void prune(Instant now) {
        Instant visibleUntil = now.minus(lag);
        while (history.size() > 1) {
            Iterator<Entry<T>> entries = history.iterator();
            entries.next();
            if (entries.next().since().isAfter(visibleUntil)) {
                return;
            }
            history.removeFirst();
        }
    }

    private record Entry<T>(Instant since, T value) {}
}
