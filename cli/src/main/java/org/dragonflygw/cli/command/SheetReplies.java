package org.dragonflygw.cli.command;

import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.cli.OperatorReply;
import org.dragonflygw.core.inspect.SheetCheckView;

/** Handles the replies that all calls with a sheet share. */
final class SheetReplies {
    private static final int UNPROCESSABLE_CONTENT_STATUS = 422;

    private SheetReplies() {}

    /** Whether the daemon rejected the sheet as invalid; the body then lists the problems. */
    static boolean isInvalidSheet(OperatorReply reply) {
        return reply.status() == UNPROCESSABLE_CONTENT_STATUS;
    }

    /** Prints the problems of a rejected sheet. */
    static ExitCode printProblems(Invocation invocation, OperatorReply reply) {
        SheetCheckView check = invocation.fleet().decodeIgnoringStatus(reply, SheetCheckView.class);
        SheetCheckCommand.print(invocation.output(), check);
        return ExitCode.INVALID_SHEET;
    }
}
