package org.dragonflygw.core.config;

/** Gives the sheet in force. Its version never goes down. */
public interface SheetSource {
    /** The sheet in force now. */
    ActiveSheet current();
}
