package org.dragonflygw.wire.settings;

import org.dragonflygw.core.error.ErrorCode;

/** Why settings could not be used. */
public enum SettingsCode implements ErrorCode {
    /** At least one setting is missing, unknown, malformed or out of its bounds. */
    INVALID_SETTINGS
}
