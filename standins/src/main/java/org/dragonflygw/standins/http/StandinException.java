package org.dragonflygw.standins.http;

import org.dragonflygw.core.error.CodedException;

/** A failure of a stand-in itself, apart from the faults that it injects. */
public final class StandinException extends CodedException {
    public StandinException(StandinCode code, String message) {
        super(code, message);
    }

    public StandinException(StandinCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
