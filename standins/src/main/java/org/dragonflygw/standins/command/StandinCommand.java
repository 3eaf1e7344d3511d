package org.dragonflygw.standins.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand that starts one kind of stand-in. */
public interface StandinCommand {
    /** Name of the subcommand. */
    String name();

    /** Adds the options of the subcommand. */
    void declareOptions(OptionParser parser);

    /** Starts the stand-in. */
    RunningStandin start(OptionSet options);
}
