package org.dragonflygw.edge.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;

/**
 * Event log that writes each line as a JSON object to a stream. Lines are buffered in memory and written by a separate
 * thread, so that logging never waits for output. While the buffer is full, further lines are dropped, and their number
 * is logged later. Safe for use by several threads.
 */
public final class JsonLog implements EventLog, AutoCloseable {
    /** Capacity of the buffer of lines that are not yet written. */
    private static final int MAX_BUFFERED_BYTES = 524_288;

    /** Interval between writes in milliseconds; fewer, larger writes cost less. */
    private static final long WRITE_INTERVAL_MS = 100;

    /** Longest time in milliseconds for which the end of the process waits until the last lines are written. */
    private static final long CLOSE_MS = 250;

    private static final int THREAD_STACK_BYTES = 131_072;

    private final JsonFactory factory = new JsonFactory();
    private final OutputStream out;
    private final InstantSource clock;
    private final String hostName;
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer;
    private final Object lock = new Object();
    private ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private volatile boolean closed;

    /**
     * Creates a log and starts the thread that writes it.
     *
     * @param hostName host that each line names
     */
    public JsonLog(OutputStream out, InstantSource clock, String hostName) {
        this.out = out;
        this.clock = clock;
        this.hostName = hostName;
        this.writer = new Thread(null, this::writeUntilClosed, "log-writer", THREAD_STACK_BYTES);
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public LogLine line(LogTopic topic) {
        return new Line(topic);
    }

    /** Returns the number of lines dropped since the start; a failed write counts as one. */
    public long droppedLines() {
        return dropped.get();
    }

    private void add(byte[] line) {
        synchronized (lock) {
            if (buffer.size() + line.length > MAX_BUFFERED_BYTES) {
                dropped.incrementAndGet();
                return;
            }
            buffer.writeBytes(line);
            lock.notifyAll();
        }
    }

    private void writeUntilClosed() {
        long reported = 0;
        try {
            while (!closed) {
                awaitLine();
                awaitMoreLines();
                flush();
                long total = dropped.get();
                if (total > reported) {
                    line(LogTopic.LOG_DROPPED).with("lines", total - reported).end();
                    reported = total;
                }
            }
            flush();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until there is something to write, so that the thread of an idle process sleeps. */
    private void awaitLine() throws InterruptedException {
        synchronized (lock) {
            while (buffer.size() == 0 && !closed) {
                lock.wait();
            }
        }
    }

    private void awaitMoreLines() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WRITE_INTERVAL_MS);
        synchronized (lock) {
            for (long leftMs = WRITE_INTERVAL_MS; leftMs > 0 && !closed; ) {
                lock.wait(leftMs);
                leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            }
        }
    }

    private void flush() {
        byte[] bytes;
        synchronized (lock) {
            if (buffer.size() == 0) {
                return;
            }
            bytes = buffer.toByteArray();
            buffer.reset();
        }
        try {
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            dropped.incrementAndGet(); // The cause cannot be logged, because the log itself failed.
        }
    }

    /**
     * Stops the writer thread, which first writes the buffered lines. Called when the process ends; returns also if the
     * output does not take the lines.
     */
    @Override
    public void close() {
        synchronized (lock) {
            closed = true;
            lock.notifyAll();
        }
        try {
            writer.join(CLOSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class Line implements LogLine {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        private final JsonGenerator json;

        Line(LogTopic topic) {
            try {
                json = factory.createGenerator(bytes);
                json.writeStartObject();
                json.writeStringField("time", clock.instant().toString());
                json.writeStringField("host", hostName);
                json.writeStringField("topic", topic.name());
            } catch (IOException e) {
                throw new IllegalStateException("encoding a log line failed", e);
            }
        }

        @Override
        public LogLine with(String field, String value) {
            return value == null ? this : write(() -> json.writeStringField(field, value));
        }

        @Override
        public LogLine with(String field, long value) {
            return write(() -> json.writeNumberField(field, value));
        }

        @Override
        public LogLine with(String field, boolean value) {
            return write(() -> json.writeBooleanField(field, value));
        }

        @Override
        public void end() {
            write(() -> {
                json.writeEndObject();
                json.close();
            });
            bytes.write('\n');
            add(bytes.toByteArray());
        }

        private LogLine write(JsonWrite step) {
            try {
                step.run();
                return this;
            } catch (IOException e) {
                throw new IllegalStateException("encoding a log line failed", e);
            }
        }
    }

    private interface JsonWrite {
        void run() throws IOException;
    }
}
