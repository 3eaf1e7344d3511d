package org.dragonflygw.edge.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;

/**
 * Writes log lines as JSON to a stream. Lines are collected in memory and written by a thread of their own, so that the
 * caller never waits; when more than a bound is waiting, lines are dropped and their number is logged.
 */
public final class JsonLog implements EventLog, AutoCloseable {
    /** Bytes that may wait to be written. */
    private static final int MAX_WAITING_BYTES = 524_288;

    /** Pause between writes in milliseconds: fewer, larger writes cost less. */
    private static final long WRITE_PAUSE_MS = 100;

    private static final int THREAD_STACK_BYTES = 131_072;

    private final JsonFactory factory = new JsonFactory();
    private final OutputStream out;
    private final InstantSource clock;
    private final String hostName;
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer;
    private final Object lock = new Object();
    private ByteArrayOutputStream waiting = new ByteArrayOutputStream();
    private volatile boolean closed;

    /** Makes a log and starts its writer. */
    public JsonLog(OutputStream out, InstantSource clock, String hostName) {
        this.out = out;
        this.clock = clock;
        this.hostName = hostName;
        this.writer = new Thread(null, this::writeAll, "log-writer", THREAD_STACK_BYTES);
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public LogLine line(LogTopic topic) {
        return new Line(topic);
    }

    /** Lines that were dropped since the start. */
    public long droppedLines() {
        return dropped.get();
    }

    private void add(byte[] line) {
        synchronized (lock) {
            if (waiting.size() + line.length > MAX_WAITING_BYTES) {
                dropped.incrementAndGet();
                return;
            }
            waiting.writeBytes(line);
        }
    }

    private void writeAll() {
        long reported = 0;
        try {
            while (!closed) {
                Thread.sleep(WRITE_PAUSE_MS);
                flush();
                long lost = dropped.get();
                if (lost > reported) {
                    line(LogTopic.LOG_DROPPED).with("lines", lost - reported).end();
                    reported = lost;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void flush() {
        byte[] bytes;
        synchronized (lock) {
            if (waiting.size() == 0) {
                return;
            }
            bytes = waiting.toByteArray();
            waiting.reset();
        }
        try {
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            dropped.incrementAndGet(); // Nowhere is left to say more; the counter is on the metrics address.
        }
    }

    /** Writes what is waiting; for the end of the process. */
    @Override
    public void close() {
        closed = true;
        flush();
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
                throw new IllegalStateException("writing to memory failed", e);
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
                throw new IllegalStateException("writing to memory failed", e);
            }
        }
    }

    private interface JsonWrite {
        void run() throws IOException;
    }
}
