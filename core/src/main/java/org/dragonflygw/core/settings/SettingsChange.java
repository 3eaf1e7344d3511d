package org.dragonflygw.core.settings;

/** What became of new settings. */
public enum SettingsChange {
    /** They are those in force. */
    NONE,
    /** All of them are in force. */
    IN_FORCE,
    /** They change the host's name, place or addresses too, which hold from the next start. */
    PARTLY_AT_NEXT_START
}
