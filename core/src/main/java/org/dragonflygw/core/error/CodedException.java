package org.dragonflygw.core.error;

/**
 * Base of all exceptions of the project: unchecked, with a stable code. Each layer has a subclass and turns
 * exceptions of the layer below into its own, with the original as the cause.
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

    /** The code of this failure. */
    public final ErrorCode code() {
        return code;
    }

    /** The message without the code. */
    public final String detail() {
        return detail;
    }
}
