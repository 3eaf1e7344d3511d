package org.dragonflygw.core.log;

/** Builder of one structured log line. Field names are in camel case and end with their unit. */
public interface LogLine {
    /** Adds a string field; null values are omitted. */
    LogLine with(String field, String value);

    /** Adds an integer field. */
    LogLine with(String field, long value);

    /** Adds a boolean field. */
    LogLine with(String field, boolean value);

    /** Records the line. */
    void end();
}
