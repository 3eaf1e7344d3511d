package org.dragonflygw.cli.command;

import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.cli.OperatorReply;
import org.dragonflygw.core.inspect.SheetCheckView;

/** Answers that all calls with a sheet have in common. */
final class SheetReplies {
    private static final int UNPROCESSABLE_CONTENT_STATUS = 422;

    private SheetReplies() {}

    static boolean isInvalidSheet(OperatorReply reply) {
        return reply.status() == UNPROCESSABLE_CONTENT_STATUS;
    }

    /** Prints the problems of a refused sheet. */
    static ExitCode printProblems(Invocation invocation, OperatorReply reply) {
        SheetCheckView check = invocation.fleet().decodeIgnoringStatus(reply, SheetCheckView.class);
        SheetCheckCommand.print(invocation.output(), check);
        return ExitCode.INVALID_SHEET;
    }
}
