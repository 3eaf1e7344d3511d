package org.dragonflygw.standins.command;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;

/** Helpers that declare and read command line options with default values. */
final class Options {
    private Options() {}

    static void number(OptionParser parser, String name, long fallback, String help) {
        parser.accepts(name, help)
                .withRequiredArg()
                .ofType(Long.class)
                .describedAs("N")
                .defaultsTo(fallback);
    }

    static void text(OptionParser parser, String name, String fallback, String help) {
        parser.accepts(name, help).withRequiredArg().describedAs("TEXT").defaultsTo(fallback);
    }

    static long number(OptionSet options, String name) {
        try {
            return (Long) options.valueOf(name);
        } catch (OptionException e) {
            throw new StandinException(StandinCode.USAGE, e.getMessage(), e);
        }
    }

    static int integer(OptionSet options, String name) {
        long value = number(options, name);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new StandinException(StandinCode.USAGE, "--" + name + " is out of range: " + value);
        }
        return (int) value;
    }

    static String text(OptionSet options, String name) {
        return String.valueOf(options.valueOf(name));
    }
}
