package org.dragonflygw.core.config;

import org.dragonflygw.core.error.CodedException;

/** Thrown when the stored configuration cannot be read or an apply has no known outcome. */
public final class ConfigException extends CodedException {
    public ConfigException(ConfigCode code, String message) {
        super(code, message);
    }

    public ConfigException(ConfigCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
