package org.dragonflygw.cli.command;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import org.dragonflygw.cli.CliException;
import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.FleetAnswers;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.core.inspect.TimelineView;
import org.dragonflygw.core.timeline.Event;
import org.dragonflygw.core.timeline.EventKey;
import org.dragonflygw.core.timeline.TimelineMerger;

/** Shows the events of all daemons as one time line. */
public final class TimelineCommand implements Command {
    private static final int DEFAULT_LIMIT = 1_000;

    @Override
    public String name() {
        return "timeline";
    }

    @Override
    public String arguments() {
        return "[request|chat|engine|team|key|lease VALUE]";
    }

    @Override
    public String summary() {
        return "events of all daemons in order; JSON prints one event a line";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts("limit", "greatest number of events").withRequiredArg().describedAs("N");
        parser.accepts("html", "write one self-contained page instead")
                .withRequiredArg()
                .describedAs("FILE");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        int limit = invocation.positiveOption("limit", DEFAULT_LIMIT);
        FleetAnswers<TimelineView> views = invocation.fleet().getFromAll(path(invocation, limit), TimelineView.class);
        List<Event> events = merge(views.answers(), limit);
        Optional<String> page = invocation.option("html");
        if (page.isPresent()) {
            String title = invocation.arguments().isEmpty() ? "all events" : String.join(" ", invocation.arguments());
            write(Path.of(page.get()), TimelinePage.render(title, events, views.silent()));
            invocation.output().note(events.size() + " events written to " + page.get());
        } else {
            print(invocation.output(), events);
        }
        invocation.output().noteSilentDaemons(views.silent());
        return views.exitCode();
    }

    static List<Event> merge(List<TimelineView> views, int limit) {
        return TimelineMerger.merge(views.stream().map(TimelineView::events).toList(), limit);
    }

    static String pathAndQuery(EventKey key, String value, int limit) {
        String encoded = URLEncoder.encode(value, StandardCharsets.UTF_8);
        return "/v1/timeline?by=" + key.wireName() + "&value=" + encoded + "&limit=" + limit;
    }

    private static String path(Invocation invocation, int limit) {
        if (invocation.arguments().isEmpty()) {
            return "/v1/timeline?limit=" + limit;
        }
        String name = invocation.argument(0, "what to look for");
        EventKey key = EventKey.parse(name)
                .orElseThrow(() -> new CliException(
                        ExitCode.USAGE, "expected request, chat, engine, team, key or lease, found " + name));
        return pathAndQuery(key, invocation.argument(1, "value of " + name), limit);
    }

    private static void print(Output output, List<Event> events) {
        for (Event event : events) {
            if (output.format() == OutputFormat.JSON) {
                output.json(event);
            } else {
                output.line(EventText.of(event));
            }
        }
    }

    private static void write(Path file, String content) {
        try {
            Files.writeString(file, content);
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot write " + file, e);
        }
    }
}
