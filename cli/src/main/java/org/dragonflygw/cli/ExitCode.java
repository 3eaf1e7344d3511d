package org.dragonflygw.cli;

import org.dragonflygw.core.error.ErrorCode;

/** Exit codes of the process. The help text lists them with their meanings. */
public enum ExitCode implements ErrorCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** A daemon answered with an error, or a local step of the command failed. */
    FAILED(1, "a daemon answered with an error"),
    /** The command, an option or an argument is invalid. */
    USAGE(2, "the command line is wrong"),
    /** The sheet was not applied, because another sheet was accepted first. */
    CONFLICT(3, "another sheet was accepted first"),
    /** The sheet is invalid. */
    INVALID_SHEET(4, "the sheet has problems"),
    /** None of the daemons could be reached. */
    UNREACHABLE(5, "no daemon could be reached"),
    /** The printed result is incomplete, because some daemons did not answer. */
    PARTIAL(6, "some daemons did not answer; what is shown is a part");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /** Exit status of the process. */
    public int number() {
        return number;
    }

    /** Meaning of the code in the help text. */
    public String meaning() {
        return meaning;
    }
}
