package org.dragonflygw.core.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The newest events of one daemon, encoded, in a fixed amount of memory; the oldest ones are overwritten. Lock order:
 * the monitor of this object is a leaf, no other lock is taken while it is held.
 */
public final class EventRing implements EventRecorder {
    /** Smallest size of a ring, in bytes. */
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
     * @param daemonId daemon that records
     * @param clock clock of the daemon
     * @param capacityBytes memory for events, at least {@link #MIN_BYTES}
     */
    public EventRing(String daemonId, HybridClock clock, int capacityBytes) {
        if (capacityBytes < MIN_BYTES) {
            throw new IllegalArgumentException("capacity below " + MIN_BYTES + " bytes: " + capacityBytes);
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
            makeRoom(length + Short.BYTES);
            write(length & 0xFF);
            write(length >>> 8);
            copyIn(scratch, length);
            count++;
            recorded++;
        }
    }

    /**
     * The newest matching events.
     *
     * @param filter chooses events
     * @param limit greatest number of events returned
     * @return events in the order in which they were recorded
     */
    public List<Event> read(EventFilter filter, int limit) {
        EventDecoder decoder = new EventDecoder(copyOut(), daemonId);
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

    /** What the ring holds now. */
    public synchronized RingUsage usage() {
        return new RingUsage(buffer.length, tail - head, count, recorded);
    }

    private void makeRoom(int needed) {
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

    private void copyIn(byte[] source, int length) {
        int start = (int) (tail % buffer.length);
        int first = Math.min(length, buffer.length - start);
        System.arraycopy(source, 0, buffer, start, first);
        System.arraycopy(source, first, buffer, 0, length - first);
        tail += length;
    }

    private synchronized byte[] copyOut() {
        byte[] events = new byte[(int) (tail - head - Short.BYTES * count)];
        int end = 0;
        long position = head;
        while (position < tail) {
            int length = lengthAt(position);
            int start = (int) ((position + Short.BYTES) % buffer.length);
            int first = Math.min(length, buffer.length - start);
            System.arraycopy(buffer, start, events, end, first);
            System.arraycopy(buffer, 0, events, end + first, length - first);
            end += length;
            position += Short.BYTES + length;
        }
        return events;
    }
}
