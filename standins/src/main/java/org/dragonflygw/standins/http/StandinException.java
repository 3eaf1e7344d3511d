package org.dragonflygw.standins.http;

import org.dragonflygw.core.error.CodedException;

/** Thrown when a stand-in itself fails or a request is invalid, not for injected faults. */
public final class StandinException extends CodedException {
    public StandinException(StandinCode code, String message) {
        super(code, message);
    }

    public StandinException(StandinCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
