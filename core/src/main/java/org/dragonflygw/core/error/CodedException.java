package org.dragonflygw.core.error;

/**
 * Base class of the project's exceptions, which are unchecked and have a stable error code. Each layer has a subclass
 * and wraps exceptions of the layer below, with the original as the cause.
 */
public abstract class CodedException extends RuntimeException {
    private final transient ErrorCode code;
    private final String detail;

    protected CodedException(ErrorCode code, String message) {
        super(code.name() + ": " + message);
        this.code = code;
        this.detail = message;
    }

    protected CodedException(ErrorCode code, String message, Throwable cause) {
        super(code.name() + ": " + message, cause);
        this.code = code;
        this.detail = message;
    }

    /** The error code. */
    public final ErrorCode code() {
        return code;
    }

    /** The message without the error code. */
    public final String detail() {
        return detail;
    }
}
