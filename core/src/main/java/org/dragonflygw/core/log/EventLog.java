package org.dragonflygw.core.log;

/**
 * Structured log of decisions and events. Implementations never block the caller; if they cannot keep up, they drop
 * lines and count the dropped ones.
 */
public interface EventLog {
    /** Starts a line, which is recorded once {@link LogLine#end()} is called. */
    LogLine line(LogTopic topic);
}
