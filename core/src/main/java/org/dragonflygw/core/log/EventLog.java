package org.dragonflygw.core.log;

/** Where decisions are recorded. Implementations never block the caller; they drop lines and count them instead. */
public interface EventLog {
    /** Starts a line; nothing is recorded until {@link LogLine#end()}. */
    LogLine line(LogTopic topic);
}
