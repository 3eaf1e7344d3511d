package org.dragonflygw.cli;

import org.dragonflygw.core.error.ErrorCode;

/** Exit codes of the command line; each failure of a command has one. */
public enum ExitCode implements ErrorCode {
    /** The command did what it was asked. */
    OK(0, "done"),
    /** A daemon answered with an error. */
    FAILED(1, "a daemon answered with an error"),
    /** The command line was wrong. */
    USAGE(2, "the command line is wrong"),
    /** Another operator's sheet was accepted first. */
    CONFLICT(3, "another sheet was accepted first"),
    /** The sheet has problems. */
    INVALID_SHEET(4, "the sheet has problems"),
    /** No daemon could be reached. */
    UNREACHABLE(5, "no daemon could be reached"),
    /** The answer holds only a part, because some daemons did not answer. */
    PARTIAL(6, "some daemons did not answer; what is shown is a part");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /** Number that the process exits with. */
    public int number() {
        return number;
    }

    /** One line for the help text. */
    public String meaning() {
        return meaning;
    }
}
