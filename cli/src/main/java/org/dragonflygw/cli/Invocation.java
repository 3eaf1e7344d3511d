package org.dragonflygw.cli;

import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;

/**
 * One call of a command.
 *
 * @param arguments arguments after the words of the command
 * @param options parsed options
 * @param fleet daemons to talk to
 * @param output where answers go
 */
public record Invocation(List<String> arguments, OptionSet options, Fleet fleet, Output output) {
    public Invocation {
        arguments = List.copyOf(arguments);
    }

    /** The argument at the index; throws {@link CliException} when it is missing. */
    public String argument(int index, String what) {
        if (index >= arguments.size()) {
            throw new CliException(ExitCode.USAGE, "missing argument: " + what);
        }
        return arguments.get(index);
    }

    /** Value of an option. */
    public Optional<String> option(String name) {
        return options.has(name) ? Optional.of(String.valueOf(options.valueOf(name))) : Optional.empty();
    }

    /** Value of an option that is a whole number above 0. */
    public int positiveOption(String name, int otherwise) {
        Optional<String> text = option(name);
        if (text.isEmpty()) {
            return otherwise;
        }
        try {
            int value = Integer.parseInt(text.get());
            if (value > 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "--" + name + " is not a number: " + text.get(), e);
        }
        throw new CliException(ExitCode.USAGE, "--" + name + " must be above 0: " + text.get());
    }
}
