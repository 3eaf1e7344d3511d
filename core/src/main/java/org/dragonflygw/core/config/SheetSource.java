package org.dragonflygw.core.config;

/** Supplies the sheet in force. Its version never decreases. */
public interface SheetSource {
    ActiveSheet current();
}
