package org.dragonflygw.core.log;

/** One structured log line under construction. Field names are in camel case and carry their unit. */
public interface LogLine {
    /** Adds a text; null is left out. */
    LogLine with(String field, String value);

    /** Adds a whole number. */
    LogLine with(String field, long value);

    /** Adds a yes or no. */
    LogLine with(String field, boolean value);

    /** Records the line. */
    void end();
}
