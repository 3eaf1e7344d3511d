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

/** Finds the subcommand, reads its options and starts it. */
public final class StandinCommandLine {
    private static final String HELP = "help";

    private final List<StandinCommand> commands;

    public StandinCommandLine(List<StandinCommand> commands) {
        this.commands = List.copyOf(commands);
    }

    /** Starts what the words ask for; throws {@link StandinException} with the usage when they ask for nothing. */
    public RunningStandin start(List<String> words) {
        StandinCommand command = find(words.isEmpty() ? "" : words.get(0));
        OptionParser parser = new OptionParser();
        parser.accepts(HELP, "shows this text").forHelp();
        command.declareOptions(parser);
        OptionSet options = parse(parser, words.subList(1, words.size()));
        if (options.has(HELP)) {
            throw new StandinException(StandinCode.USAGE, command.name() + "\n" + helpOf(parser));
        }
        return command.start(options);
    }

    private StandinCommand find(String word) {
        return commands.stream()
                .filter(command -> command.name().equals(word))
                .findFirst()
                .orElseThrow(() -> new StandinException(
                        StandinCode.USAGE,
                        "the first argument is one of "
                                + commands.stream().map(StandinCommand::name).toList() + ", found \"" + word + "\""));
    }

    private static OptionSet parse(OptionParser parser, List<String> words) {
        try {
            return parser.parse(words.toArray(String[]::new));
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
