package org.dragonflygw.cli;

/** Format of printed results; {@code --output} takes the names in lower case. */
public enum OutputFormat {
    TABLE,
    JSON
}
