package org.dragonflygw.cli.command;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.dragonflygw.cli.Columns;
import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.FleetAnswers;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.core.inspect.TeamView;

/** Shows the teams with their counts summed over all daemons. */
public final class TeamsCommand implements Command {
    @Override
    public String name() {
        return "teams";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "teams with weight, rate and counts, summed over all daemons";
    }

    @Override
    public ExitCode run(Invocation invocation) {
        FleetAnswers<List<TeamView>> answers = invocation.fleet().getListFromAll("/v1/teams", TeamView.class);
        invocation
                .output()
                .rows(
                        sum(answers.answers()),
                        List.of(
                                Columns.text("TEAM", TeamView::name),
                                Columns.number("WEIGHT", TeamView::weight),
                                Columns.number("RATE/S", TeamView::requestsPerSecond),
                                Columns.number("OPEN", TeamView::open),
                                Columns.number("ACCEPTED", TeamView::accepted),
                                Columns.number("REFUSED", TeamView::refused),
                                Columns.number("FAILED", TeamView::failed),
                                Columns.decimal("FIRST TOKEN P95 MS", TeamView::firstTokenP95Millis)));
        invocation.output().noteSilentDaemons(answers.silent());
        return answers.exitCode();
    }

    private static Collection<TeamView> sum(List<List<TeamView>> daemons) {
        TreeMap<String, TeamView> teams = new TreeMap<>();
        for (List<TeamView> daemon : daemons) {
            daemon.forEach(team -> teams.merge(team.name(), team, TeamsCommand::add));
        }
        return teams.values();
    }

    private static TeamView add(TeamView a, TeamView b) {
        return new TeamView(
                a.name(),
                a.weight(),
                a.requestsPerSecond(),
                a.open() + b.open(),
                a.accepted() + b.accepted(),
                a.refused() + b.refused(),
                a.failed() + b.failed(),
                Math.max(a.firstTokenP95Millis(), b.firstTokenP95Millis()));
    }
}
