package org.dragonflygw.standins.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand that starts one kind of stand-in. */
public interface StandinCommand {
    /** Returns the name of the subcommand. */
    String name();

    /** Adds the options of the subcommand to the parser. */
    void declareOptions(OptionParser parser);

    /** Starts the stand-in; throws {@code StandinException} when an option is invalid or the start fails. */
    RunningStandin start(OptionSet options);
}
