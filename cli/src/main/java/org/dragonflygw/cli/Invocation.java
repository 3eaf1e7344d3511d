package org.dragonflygw.cli;

import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;

/**
 * Arguments, options and dependencies of one run of a command.
 *
 * @param arguments words after the name of the command that are no options
 * @param options parsed options
 * @param fleet daemons to call
 * @param output where results are printed
 */
public record Invocation(List<String> arguments, OptionSet options, Fleet fleet, Output output) {
    public Invocation {
        arguments = List.copyOf(arguments);
    }

    /**
     * Returns the argument at a position.
     *
     * @param description what the argument is, for the error message
     * @throws CliException with {@link ExitCode#USAGE} when the argument is missing
     */
    public String argument(int index, String description) {
        if (index >= arguments.size()) {
            throw new CliException(ExitCode.USAGE, "missing argument: " + description);
        }
        return arguments.get(index);
    }

    /** Value of an option; empty when the option is not given. */
    public Optional<String> option(String name) {
        return options.has(name) ? Optional.of(String.valueOf(options.valueOf(name))) : Optional.empty();
    }

    /**
     * Value of an option that takes a positive integer.
     *
     * @throws CliException with {@link ExitCode#USAGE} when the value is no integer above 0
     */
    public int positiveOption(String name, int defaultValue) {
        Optional<String> text = option(name);
        if (text.isEmpty()) {
            return defaultValue;
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
