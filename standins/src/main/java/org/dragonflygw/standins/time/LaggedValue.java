package org.dragonflygw.standins.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Iterator;

/** A value whose readers see it as it was some time ago. Safe from every thread. */
public final class LaggedValue<T> {
    private final InstantSource clock;
    private final ArrayDeque<Entry<T>> history = new ArrayDeque<>();
    private Duration lag;

    public LaggedValue(InstantSource clock, Duration lag, T initial) {
        this.clock = clock;
        this.lag = lag;
        history.add(new Entry<>(Instant.MIN, initial));
    }

    /** Sets the true value. */
    public synchronized void set(T value) {
        Instant now = clock.instant();
        prune(now);
        history.addLast(new Entry<>(now, value));
    }

    /** Changes how far readers lag behind. */
    public synchronized void setLag(Duration newLag) {
        lag = newLag;
    }

    /** The true value. */
    public synchronized T latest() {
        return history.getLast().value();
    }

    /** The value as readers see it now. */
    public synchronized T read() {
        prune(clock.instant());
        return history.getFirst().value();
    }

    private void prune(Instant now) {
        Instant visible = now.minus(lag);
        while (history.size() > 1) {
            Iterator<Entry<T>> entries = history.iterator();
            entries.next();
            if (entries.next().since().isAfter(visible)) {
                return;
            }
            history.removeFirst();
        }
    }

    private record Entry<T>(Instant since, T value) {}
}
