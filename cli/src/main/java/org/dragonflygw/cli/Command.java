package org.dragonflygw.cli;

import joptsimple.OptionParser;

/** One command of the command line. */
public interface Command {
    /** Words that name the command, for example {@code sheet apply}. */
    String name();

    /** Names of the arguments after the command; empty for none. */
    String arguments();

    /** One line for the help text. */
    String summary();

    /** Declares the options of this command beside the common ones. */
    default void declareOptions(OptionParser parser) {}

    /** Does the work; throws {@link CliException} on failure. */
    ExitCode run(Invocation invocation);
}
