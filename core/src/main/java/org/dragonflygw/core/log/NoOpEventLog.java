package org.dragonflygw.core.log;

/** Event log that discards all lines, for tests and measurements. */
public final class NoOpEventLog implements EventLog, LogLine {
    @Override
    public LogLine line(LogTopic topic) {
        return this;
    }

    @Override
    public LogLine with(String field, String value) {
        return this;
    }

    @Override
    public LogLine with(String field, long value) {
        return this;
    }

    @Override
    public LogLine with(String field, boolean value) {
        return this;
    }

    @Override
    public void end() {
        // Nothing is recorded.
    }
}
