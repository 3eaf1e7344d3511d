package org.dragonflygw.core.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Ring buffer of the newest events of one daemon, in encoded form and a fixed amount of memory. New events overwrite
 * the oldest ones. Each event is stored as its length (2 bytes) and its encoded bytes. Thread-safe. The monitor of this
 * object is a leaf in the lock order: no other lock is taken while it is held.
 */
public final class EventRing implements EventRecorder {
    /** Minimum capacity of a ring, in bytes. */
    public static final int MIN_BYTES = 1 << 16;

    private static final ThreadLocal<byte[]> SCRATCH =
            ThreadLocal.withInitial(() -> new byte[EventEncoder.MAX_EVENT_BYTES]);

    private final String daemonId;
    private final HybridClock clock;
    private final byte[] buffer;
    private long head;
    private long tail;
    private long count;
    private long recorded;

    /**
     * Creates an empty ring.
     *
     * @param daemonId id of the daemon that records the events
     * @param clock hybrid logical clock of the daemon
     * @param capacityBytes memory for events, at least {@link #MIN_BYTES}
     */
    public EventRing(String daemonId, HybridClock clock, int capacityBytes) {
        if (capacityBytes < MIN_BYTES) {
            throw new IllegalArgumentException(
                    "timeline capacity of " + capacityBytes + " bytes is below the minimum of " + MIN_BYTES);
        }
        this.daemonId = daemonId;
        this.clock = clock;
        this.buffer = new byte[capacityBytes];
    }

    @Override
    public void record(EventType type, EventSubject subject, String detail) {
        byte[] scratch = SCRATCH.get();
        int length = EventEncoder.encode(clock.nowPacked(), type, subject, detail, scratch);
        synchronized (this) {
            evictUntilFits(length + Short.BYTES);
            write(length & 0xFF);
            write(length >>> 8);
            copyToBuffer(scratch, length);
            count++;
            recorded++;
        }
    }

    /**
     * Returns the newest events that match the filter. Decodes a copy of the whole ring, outside the lock.
     *
     * @param filter selects events
     * @param limit maximum number of events
     * @return events, oldest first
     */
    public List<Event> read(EventFilter filter, int limit) {
        EventDecoder decoder = new EventDecoder(copyOfEvents(), daemonId);
        Deque<Event> newest = new ArrayDeque<>();
        while (decoder.hasNext()) {
            Event event = decoder.next();
            if (!filter.matches(event.subject())) {
                continue;
            }
            newest.addLast(event);
            if (newest.size() > limit) {
                newest.removeFirst();
            }
        }
        return new ArrayList<>(newest);
    }

    /** Current use of the ring. */
    public synchronized RingUsage usage() {
        return new RingUsage(buffer.length, tail - head, count, recorded);
    }

    private void evictUntilFits(int needed) {
        while (tail - head + needed > buffer.length) {
            head += Short.BYTES + lengthAt(head);
            count--;
        }
    }

    private int lengthAt(long position) {
        return (at(position) & 0xFF) | (at(position + 1) & 0xFF) << 8;
    }

    private byte at(long position) {
        return buffer[(int) (position % buffer.length)];
    }

    private void write(int value) {
        buffer[(int) (tail % buffer.length)] = (byte) value;
        tail++;
    }

    private void copyToBuffer(byte[] source, int length) {
        int start = (int) (tail % buffer.length);
        int firstPart = Math.min(length, buffer.length - start);
        System.arraycopy(source, 0, buffer, start, firstPart);
        System.arraycopy(source, firstPart, buffer, 0, length - firstPart);
        tail += length;
    }

    private synchronized byte[] copyOfEvents() {
        byte[] events = new byte[(int) (tail - head - Short.BYTES * count)];
        int end = 0;
        long position = head;
        while (position < tail) {
            int length = lengthAt(position);
            int start = (int) ((position + Short.BYTES) % buffer.length);
            int firstPart = Math.min(length, buffer.length - start);
            System.arraycopy(buffer, start, events, end, firstPart);
            System.arraycopy(buffer, 0, events, end + firstPart, length - firstPart);
            end += length;
            position += Short.BYTES + length;
        }
        return events;
    }
}
