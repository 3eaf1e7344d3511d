package org.dragonflygw.cli.command;

import java.util.Comparator;
import java.util.List;
import org.dragonflygw.cli.Columns;
import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.FleetAnswers;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.core.inspect.RequestView;

/** Shows the requests that are open on any daemon, oldest first. */
public final class RequestsCommand implements Command {
    @Override
    public String name() {
        return "requests";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "requests open on any daemon, oldest first";
    }

    @Override
    public ExitCode run(Invocation invocation) {
        FleetAnswers<List<RequestView>> answers = invocation.fleet().getListFromAll("/v1/requests", RequestView.class);
        List<RequestView> requests = answers.answers().stream()
                .flatMap(List::stream)
                .sorted(Comparator.comparingLong(RequestView::ageMillis).reversed())
                .toList();
        invocation
                .output()
                .rows(
                        requests,
                        List.of(
                                Columns.text("REQUEST", RequestView::requestId),
                                Columns.text("TEAM", RequestView::team),
                                Columns.text("SERVICE", RequestView::service),
                                Columns.text("CHAT", RequestView::chatId),
                                Columns.text("ENDPOINT", RequestView::endpointId),
                                Columns.number("ATTEMPT", RequestView::attempt),
                                Columns.number("AGE MS", RequestView::ageMillis)));
        invocation.output().noteSilentDaemons(answers.silent());
        return answers.exitCode();
    }
}
