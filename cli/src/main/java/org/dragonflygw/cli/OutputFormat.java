package org.dragonflygw.cli;

/** How answers are printed. */
public enum OutputFormat {
    TABLE,
    JSON
}
