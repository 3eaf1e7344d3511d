package org.dragonflygw.cli.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import joptsimple.OptionParser;
import org.dragonflygw.cli.CliException;
import org.dragonflygw.cli.Command;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.FleetAnswers;
import org.dragonflygw.cli.Invocation;
import org.dragonflygw.cli.Output;
import org.dragonflygw.cli.OutputFormat;
import org.dragonflygw.cli.logs.LogReader;
import org.dragonflygw.cli.logs.RequestHistory;
import org.dragonflygw.core.inspect.TimelineView;
import org.dragonflygw.core.timeline.Event;
import org.dragonflygw.core.timeline.EventKey;
import org.dragonflygw.core.timeline.EventType;

/** Explains one request: the candidates and their scores, what was waited for, refused or retried, and the end. */
public final class ExplainCommand implements Command {
    private static final int MAX_EVENTS = 10_000;
    private static final String LOGS = "logs";
    private static final Set<EventType> CHOICE_EVENTS = EnumSet.of(EventType.CANDIDATES_RANKED);
    private static final Set<EventType> WAITING_EVENTS = EnumSet.of(
            EventType.GRANT_REQUESTED,
            EventType.GRANT_GIVEN,
            EventType.GRANT_REFUSED,
            EventType.GRANT_EXPIRED,
            EventType.STEWARD_UNREACHABLE,
            EventType.CLAIM_INSERTED,
            EventType.CLAIM_REPLAYED,
            EventType.CLAIM_WAITED);
    private static final Set<EventType> RUN_EVENTS =
            EnumSet.of(EventType.DISPATCHED, EventType.FIRST_TOKEN, EventType.GRANT_RELEASED);
    private static final Set<EventType> FAILURE_EVENTS = EnumSet.of(
            EventType.CONNECTION_SILENT,
            EventType.STREAM_RESUMED,
            EventType.CHUNK_REJECTED,
            EventType.RETRIED,
            EventType.RETRY_DENIED,
            EventType.FINGERPRINT_QUARANTINED);

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "REQUEST";
    }

    @Override
    public String summary() {
        return "why a request went where it went, and what was waited for, refused or retried";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(LOGS, "read log files of routers instead of asking daemons; may be given more than once")
                .withRequiredArg()
                .describedAs("FILE");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String request = invocation.argument(0, "request id");
        if (invocation.options().has(LOGS)) {
            return explainFromLogs(invocation, request);
        }
        String path = TimelineCommand.pathAndQuery(EventKey.REQUEST, request, MAX_EVENTS);
        FleetAnswers<TimelineView> views = invocation.fleet().getFromAll(path, TimelineView.class);
        List<Event> events = TimelineCommand.merge(views.answers(), MAX_EVENTS);
        invocation.output().noteSilentDaemons(views.silent());
        if (events.isEmpty()) {
            throw new CliException(ExitCode.FAILED, "no daemon that answered remembers request " + request);
        }
        if (invocation.output().format() == OutputFormat.JSON) {
            invocation.output().json(events);
        } else {
            print(invocation.output(), request, events);
        }
        return views.exitCode();
    }

    private static ExitCode explainFromLogs(Invocation invocation, String request) {
        List<Path> files = invocation.options().valuesOf(LOGS).stream()
                .map(f -> Path.of(String.valueOf(f)))
                .toList();
        LogReader reader = new LogReader(new ObjectMapper());
        RequestHistory story = new RequestHistory(request);
        files.forEach(f -> reader.read(f, story::addIfOfRequest));
        if (reader.unreadableLines() > 0) {
            invocation.output().note(reader.unreadableLines() + " lines are no log lines and were passed over");
        }
        if (!story.isFound()) {
            throw new CliException(ExitCode.FAILED, "no line of these logs is about request " + request);
        }
        files.forEach(f -> reader.read(f, story::addIfContext));
        RequestHistoryPrinter.print(invocation.output(), request, story);
        return ExitCode.OK;
    }

    private static void print(Output output, String request, List<Event> events) {
        Event first = events.get(0);
        Event last = events.get(events.size() - 1);
        output.line("request " + request + "  team=" + first.subject().team() + "  chat="
                + first.subject().chatId());
        printSection(output, "choice of the endpoint", events, CHOICE_EVENTS);
        printSection(output, "waiting and grants", events, WAITING_EVENTS);
        printSection(output, "run", events, RUN_EVENTS);
        printSection(output, "failures and retries", events, FAILURE_EVENTS);
        long millis = last.at().physicalMillis() - first.at().physicalMillis();
        output.line("end: " + last.type() + " after " + millis + " ms  " + last.detail());
    }

    private static void printSection(Output output, String heading, List<Event> events, Set<EventType> types) {
        List<Event> chosen =
                events.stream().filter(event -> types.contains(event.type())).toList();
        if (chosen.isEmpty()) {
            return;
        }
        output.line(heading);
        chosen.forEach(event -> output.line("  " + EventText.of(event)));
    }
}
