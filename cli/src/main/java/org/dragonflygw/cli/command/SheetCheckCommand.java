package org.dragonflygw.cli.command;

import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.core.config.SheetProblem;
import org.dragonflygw.core.config.SheetReadResult;
import org.dragonflygw.core.config.SheetReader;
import org.dragonflygw.core.inspect.SheetCheckView;

/** {@code sheet check}: validates a sheet locally, without calling a daemon. */
public final class SheetCheckCommand implements Command {
    @Override
    public String name() {
        return "sheet check";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "names every bad row and column of a sheet; asks no daemon";
    }

    @Override
    public ExitCode run(Invocation invocation) {
        SheetReadResult result = new SheetReader().read(SheetFile.read(invocation));
        print(invocation.output(), new SheetCheckView(result.isValid(), result.problemCount(), result.problems()));
        return result.isValid() ? ExitCode.OK : ExitCode.INVALID_SHEET;
    }

    /** Prints the problems of a sheet, or that the sheet can be applied. */
    static void print(Output output, SheetCheckView check) {
        if (output.format() == OutputFormat.JSON) {
            output.json(check);
            return;
        }
        for (SheetProblem problem : check.problems()) {
            output.line(problem.toString());
        }
        int hidden = check.problemCount() - check.problems().size();
        if (hidden > 0) {
            output.line("and " + hidden + " more problems");
        }
        output.line(check.valid() ? "the sheet can be applied" : check.problemCount() + " problems");
    }
}
