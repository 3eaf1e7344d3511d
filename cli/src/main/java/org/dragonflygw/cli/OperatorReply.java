package org.dragonflygw.cli;

/**
 * Answer of a daemon on its operators' port.
 *
 * @param status HTTP status
 * @param body content as text
 */
public record OperatorReply(int status, String body) {
    private static final int FIRST_ERROR_STATUS = 400;

    /** Whether the daemon answered with an error. */
    public boolean isError() {
        return status >= FIRST_ERROR_STATUS;
    }
}
