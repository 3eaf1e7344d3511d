package org.dragonflygw.cli.command;

import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.cli.OperatorReply;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.core.inspect.SheetDiffView;

/** {@code sheet diff}: shows how a sheet differs from the sheet in force. */
public final class SheetDiffCommand implements Command {
    @Override
    public String name() {
        return "sheet diff";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "how a sheet differs from the one in force";
    }

    @Override
    public ExitCode run(Invocation invocation) {
        OperatorReply reply = invocation.fleet().postToAny("/v1/sheet/diff", SheetFile.read(invocation));
        if (SheetReplies.isInvalidSheet(reply)) {
            return SheetReplies.printProblems(invocation, reply);
        }
        SheetDiffView diff = invocation.fleet().decode(reply, SheetDiffView.class);
        Output output = invocation.output();
        if (output.format() == OutputFormat.JSON) {
            output.json(diff);
            return ExitCode.OK;
        }
        output.line(diff.changes().size() + " rows differ from version " + diff.number());
        diff.changes().forEach(output::line);
        return ExitCode.OK;
    }
}
