package org.dragonflygw.cli;

import org.dragonflygw.core.error.CodedException;

/** Thrown when a command fails; carries the exit code of the process. */
public final class CliException extends CodedException {
    private final ExitCode exitCode;

    public CliException(ExitCode code, String message) {
        super(code, message);
        this.exitCode = code;
    }

    public CliException(ExitCode code, String message, Throwable cause) {
        super(code, message, cause);
        this.exitCode = code;
    }

    /** Exit code of the process. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
