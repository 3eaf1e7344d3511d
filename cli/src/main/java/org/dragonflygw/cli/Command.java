package org.dragonflygw.cli;

import joptsimple.OptionParser;

/** One command of {@code dragonflygw}. Stateless: everything about one call is in its {@link Invocation}. */
public interface Command {
    /** The one or two words that name the command, for example {@code sheet apply}. */
    String name();

    /** Arguments as the help text shows them, for example {@code FILE}; empty for none. */
    String arguments();

    /** One line that describes the command in the help text. */
    String summary();

    /** Declares the options of this command in addition to those that all commands share. */
    default void declareOptions(OptionParser parser) {}

    /** Runs the command and prints the result; throws {@link CliException} on failure. */
    ExitCode run(Invocation invocation);
}
