package org.dragonflygw.cli;

/**
 * HTTP reply from the operators' port of a daemon.
 *
 * @param status HTTP status
 * @param body content of the reply, decoded to text; empty for none
 */
public record OperatorReply(int status, String body) {
    private static final int FIRST_ERROR_STATUS = 400;

    /** Whether the status is a client or server error. */
    public boolean isError() {
        return status >= FIRST_ERROR_STATUS;
    }
}
