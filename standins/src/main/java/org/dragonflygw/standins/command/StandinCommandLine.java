package org.dragonflygw.standins.command;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;

/** Selects the subcommand from the first argument, parses its options and starts the stand-in. */
public final class StandinCommandLine {
    private static final String HELP = "help";

    private final List<StandinCommand> commands;

    public StandinCommandLine(List<StandinCommand> commands) {
        this.commands = List.copyOf(commands);
    }

    /** Starts the requested stand-in; throws {@link StandinException} with the usage when the arguments are invalid. */
    public RunningStandin start(List<String> arguments) {
        StandinCommand command = find(arguments.isEmpty() ? "" : arguments.get(0));
        OptionParser parser = new OptionParser();
        parser.accepts(HELP, "shows this text").forHelp();
        command.declareOptions(parser);
        OptionSet options = parse(parser, arguments.subList(1, arguments.size()));
        if (options.has(HELP)) {
            throw new StandinException(StandinCode.USAGE, command.name() + "\n" + helpOf(parser));
        }
        return command.start(options);
    }

    private StandinCommand find(String name) {
        return commands.stream()
                .filter(command -> command.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new StandinException(
                        StandinCode.USAGE,
                        "the first argument must be one of "
                                + commands.stream().map(StandinCommand::name).toList() + ", found \"" + name + "\""));
    }

    private static OptionSet parse(OptionParser parser, List<String> arguments) {
        try {
            return parser.parse(arguments.toArray(String[]::new));
        } catch (OptionException e) {
            throw new StandinException(StandinCode.USAGE, e.getMessage(), e);
        }
    }

    private static String helpOf(OptionParser parser) {
        try {
            StringWriter text = new StringWriter();
            parser.printHelpOn(text);
            return text.toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
