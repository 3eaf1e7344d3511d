package org.dragonflygw.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Finds the command, reads its options and runs it. */
public final class CommandLine {
    /** Environment variable with the daemons to talk to, separated by commas. */
    public static final String DAEMONS_VARIABLE = "DRAGONFLYGW_DAEMONS";

    private static final String DEFAULT_DAEMON = "127.0.0.1:8081";
    private static final String DAEMON = "daemon";
    private static final String OUTPUT = "output";
    private static final String HELP = "help";

    private final List<Command> commands;
    private final OperatorClient client;
    private final ObjectMapper json;
    private final Map<String, String> environment;
    private final String version;

    public CommandLine(
            List<Command> commands,
            OperatorClient client,
            ObjectMapper json,
            Map<String, String> environment,
            String version) {
        this.commands = List.copyOf(commands);
        this.client = client;
        this.json = json;
        this.environment = Map.copyOf(environment);
        this.version = version;
    }

    /** Runs one command line and returns the exit code; prints errors to {@code err}. */
    public ExitCode run(String[] words, PrintStream out, PrintStream err) {
        try {
            return dispatch(Arrays.asList(words), out, err);
        } catch (CliException e) {
            err.println("dragonflygw: " + e.getMessage());
            return e.exitCode();
        }
    }

    private ExitCode dispatch(List<String> words, PrintStream out, PrintStream err) {
        if (words.isEmpty() || words.get(0).equals("--help") || words.get(0).equals(HELP)) {
            printHelp(out);
            return words.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
        }
        if (words.get(0).equals("--version")) {
            out.println("dragonflygw " + version);
            return ExitCode.OK;
        }
        Command command = findCommand(words);
        int used = command.name().split(" ", -1).length;
        return run(command, words.subList(used, words.size()), out, err);
    }

    private ExitCode run(Command command, List<String> rest, PrintStream out, PrintStream err) {
        OptionParser parser = createParser(command);
        OptionSet options = parse(parser, rest);
        if (options.has(HELP)) {
            printHelp(command, parser, out);
            return ExitCode.OK;
        }
        Output output = new Output(outputFormat(options), out, err, json);
        List<String> arguments =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        return command.run(new Invocation(arguments, options, new Fleet(daemons(options), client, json), output));
    }

    private Command findCommand(List<String> words) {
        String line = String.join(" ", words) + " ";
        return commands.stream()
                .filter(command -> line.startsWith(command.name() + " "))
                .findFirst()
                .orElseThrow(() -> new CliException(ExitCode.USAGE, unknownCommandMessage(words.get(0))));
    }

    private String unknownCommandMessage(String word) {
        List<String> similar = commands.stream()
                .map(Command::name)
                .filter(name -> name.startsWith(word))
                .toList();
        String hint = similar.isEmpty() ? "see dragonflygw --help" : "did you mean " + String.join(", ", similar) + "?";
        return "unknown command " + word + "; " + hint;
    }

    private static OptionParser createParser(Command command) {
        OptionParser parser = new OptionParser();
        parser.accepts(DAEMON, "operators' port of a daemon; may be given more than once")
                .withRequiredArg()
                .describedAs("HOST:PORT");
        parser.accepts(OUTPUT, "table or json").withRequiredArg().describedAs("FORMAT");
        parser.accepts(HELP, "shows this text").forHelp();
        command.declareOptions(parser);
        return parser;
    }

    private static OptionSet parse(OptionParser parser, List<String> words) {
        try {
            return parser.parse(words.toArray(String[]::new));
        } catch (OptionException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage(), e);
        }
    }

    private static OutputFormat outputFormat(OptionSet options) {
        String name = options.has(OUTPUT) ? String.valueOf(options.valueOf(OUTPUT)) : "table";
        Optional<OutputFormat> format = Stream.of(OutputFormat.values())
                .filter(value -> value.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst();
        return format.orElseThrow(() -> new CliException(ExitCode.USAGE, "--output is table or json, found " + name));
    }

    private List<DaemonAddress> daemons(OptionSet options) {
        List<String> given =
                options.valuesOf(DAEMON).stream().map(String::valueOf).toList();
        if (given.isEmpty()) {
            given = List.of(
                    environment.getOrDefault(DAEMONS_VARIABLE, DEFAULT_DAEMON).split(",", -1));
        }
        return given.stream().map(String::strip).map(DaemonAddress::parse).toList();
    }

    private void printHelp(PrintStream out) {
        out.println("Usage: dragonflygw COMMAND [ARGUMENTS] [--daemon HOST:PORT]... [--output table|json]");
        out.println();
        out.println("Commands:");
        for (Command command : commands) {
            String words = command.name() + (command.arguments().isEmpty() ? "" : " " + command.arguments());
            out.println("  " + words);
            out.println("      " + command.summary());
        }
        out.println();
        out.println("Daemons come from --daemon, else from " + DAEMONS_VARIABLE + ", else " + DEFAULT_DAEMON + ".");
        out.println();
        out.println("Exit codes:");
        for (ExitCode code : ExitCode.values()) {
            out.println("  " + code.number() + "  " + code.meaning());
        }
    }

    private static void printHelp(Command command, OptionParser parser, PrintStream out) {
        out.println("Usage: dragonflygw " + command.name() + " " + command.arguments());
        out.println(command.summary());
        try {
            parser.printHelpOn(out);
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot print the help text", e);
        }
    }
}
