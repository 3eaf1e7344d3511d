package org.dragonflygw.core.config;

import org.dragonflygw.core.error.CodedException;

/** A failed use of the stored configuration. */
public final class ConfigException extends CodedException {
    public ConfigException(ConfigCode code, String message) {
        super(code, message);
    }

    public ConfigException(ConfigCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
