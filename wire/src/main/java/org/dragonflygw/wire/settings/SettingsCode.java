package org.dragonflygw.wire.settings;

import org.dragonflygw.core.error.ErrorCode;

/** Error codes of {@link SettingsException}. */
public enum SettingsCode implements ErrorCode {
    /** At least one setting is missing, unknown, malformed or out of range. */
    INVALID_SETTINGS
}
