package org.dragonflygw.core.log;

/** An event log that records nothing, for tests and measurements. */
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
        // Nothing is kept.
    }
}
