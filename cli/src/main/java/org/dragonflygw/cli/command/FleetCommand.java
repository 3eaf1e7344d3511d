package org.dragonflygw.cli.command;

import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import org.dragonflygw.cli.Columns;
import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.FleetAnswers;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.core.inspect.FleetView;
import org.dragonflygw.core.inspect.MemberView;
import org.dragonflygw.core.inspect.ServiceView;

/** Shows the three measures of the fleet, its services and its daemons. */
public final class FleetCommand implements Command {
    @Override
    public String name() {
        return "fleet";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "cache reuse, skew and control traffic, services, and daemons";
    }

    @Override
    public ExitCode run(Invocation invocation) {
        FleetAnswers<FleetView> views = invocation.fleet().getFromAll("/v1/fleet", FleetView.class);
        Output output = invocation.output();
        if (output.format() == OutputFormat.JSON) {
            output.json(views.answers());
        } else {
            printMeasures(output, views.answers());
            printDaemons(output, views.answers());
            printServices(output, views.answers());
            printMembers(output, views.answers());
        }
        output.noteSilentDaemons(views.silent());
        return views.exitCode();
    }

    private static void printMeasures(Output output, List<FleetView> views) {
        double skew = views.stream()
                .flatMap(view -> view.services().stream())
                .mapToDouble(ServiceView::skew)
                .max()
                .orElse(0);
        double sent = views.stream()
                .mapToDouble(FleetView::controlBytesSentPerSecond)
                .max()
                .orElse(0);
        output.line("cache reuse      " + cacheReuseText(views));
        output.line(String.format(Locale.ROOT, "load skew        %.2f x mean (worst service)", skew));
        output.line(String.format(Locale.ROOT, "control traffic  %.0f bytes/s of gossip sent (busiest daemon)", sent));
        output.line("");
    }

    private static String cacheReuseText(List<FleetView> views) {
        OptionalDouble mean = views.stream()
                .mapToDouble(FleetView::cacheReusePercent)
                .filter(percent -> percent != FleetView.UNKNOWN_REUSE)
                .average();
        return mean.isPresent()
                ? String.format(Locale.ROOT, "%.1f %% of prompt tokens (mean of daemons)", mean.getAsDouble())
                : "not reported by the engines";
    }

    private static void printDaemons(Output output, List<FleetView> views) {
        output.table(
                views,
                List.of(
                        Columns.text("ANSWERED", FleetView::daemonId),
                        Columns.number("SHEET", FleetView::sheetNumber),
                        Columns.text("DIGEST", view -> abbreviate(view.sheetDigest())),
                        Columns.decimal("SENT B/S", FleetView::controlBytesSentPerSecond),
                        Columns.decimal("RECEIVED B/S", FleetView::controlBytesReceivedPerSecond)));
        output.line("");
    }

    private static void printServices(Output output, List<FleetView> views) {
        if (views.isEmpty()) {
            return;
        }
        output.table(
                views.get(0).services(),
                List.of(
                        Columns.text("SERVICE", ServiceView::name),
                        Columns.number("LIVE", ServiceView::liveEndpoints),
                        Columns.number("ENDPOINTS", ServiceView::endpoints),
                        Columns.decimal("MEAN LOAD", ServiceView::meanInFlight),
                        Columns.number("MAX LOAD", ServiceView::maxInFlight),
                        Columns.decimal("SKEW", ServiceView::skew),
                        Columns.decimal("BOUND", ServiceView::loadBound)));
        output.line("");
    }

    private static void printMembers(Output output, List<FleetView> views) {
        if (views.isEmpty()) {
            return;
        }
        output.table(
                views.get(0).members(),
                List.of(
                        Columns.text("DAEMON", MemberView::daemonId),
                        Columns.text("OPERATORS", member -> member.address() + ":" + member.operatorPort()),
                        Columns.text("ZONE", MemberView::availabilityZone),
                        Columns.text("REGION", MemberView::region),
                        Columns.text("STATUS", MemberView::status),
                        Columns.number("SHEET", MemberView::sheetNumber),
                        Columns.number("HEARD MS AGO", MemberView::heardMillisAgo)));
    }

    private static String abbreviate(String digest) {
        return digest.length() <= 12 ? digest : digest.substring(0, 12);
    }
}
