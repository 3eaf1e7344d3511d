package org.dragonflygw.core.stream;

import org.dragonflygw.core.error.CodedException;

/** A stream of events that cannot be read any further. */
public final class StreamException extends CodedException {
    public StreamException(StreamCode code, String message) {
        super(code, message);
    }
}
