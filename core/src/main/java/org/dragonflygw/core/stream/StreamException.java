package org.dragonflygw.core.stream;

import org.dragonflygw.core.error.CodedException;

/** Thrown if a stream of server-sent events cannot be decoded any further. */
public final class StreamException extends CodedException {
    public StreamException(StreamCode code, String message) {
        super(code, message);
    }
}
