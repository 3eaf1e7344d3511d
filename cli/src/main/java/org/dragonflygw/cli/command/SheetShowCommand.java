package org.dragonflygw.cli.command;

import java.util.List;
import org.dragonflygw.cli.Columns;
import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.FleetAnswers;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.core.inspect.SheetView;

/** Shows the sheet in force, and its version on every daemon. */
public final class SheetShowCommand implements Command {
    @Override
    public String name() {
        return "sheet show";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "the newest sheet in force, and the version in force on every daemon";
    }

    @Override
    public ExitCode run(Invocation invocation) {
        FleetAnswers<SheetView> views = invocation.fleet().getFromAll("/v1/sheet", SheetView.class);
        Output output = invocation.output();
        if (output.format() == OutputFormat.JSON) {
            output.json(views.answers());
        } else {
            print(output, views.answers());
        }
        output.noteSilentDaemons(views.silent());
        return views.exitCode();
    }

    private static void print(Output output, List<SheetView> views) {
        if (views.isEmpty()) {
            return;
        }
        SheetView newest = views.get(0);
        for (SheetView view : views) {
            newest = view.number() > newest.number() ? view : newest;
        }
        output.line(newest.content().stripTrailing());
        output.line("");
        output.table(
                views,
                List.of(
                        Columns.text("DAEMON", SheetView::daemonId),
                        Columns.number("VERSION", SheetView::number),
                        Columns.text("DIGEST", SheetView::digest)));
    }
}
