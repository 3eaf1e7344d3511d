package org.dragonflygw.core.settings;

/** Result of offering new settings to a {@link SettingsHolder}. */
public enum SettingsChange {
    /** The settings are the same as the current ones. */
    NONE,
    /** All changes took effect. */
    IN_FORCE,
    /** Changes of the host's name, location or addresses take effect at the next start; all others took effect. */
    PARTLY_AT_NEXT_START
}
