package org.dragonflygw.standins.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.standins.plain.PlainServer;

/** Subcommand {@code plain}: starts a fake plain service. */
public final class PlainCommand implements StandinCommand {
    @Override
    public String name() {
        return "plain";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        HostOptions.declare(parser, "plain-1", "plain");
    }

    @Override
    public RunningStandin start(OptionSet options) {
        PlainServer service = new PlainServer(Options.text(options, "id"), Options.integer(options, "port"));
        return HostOptions.register(options, HostRole.PLAIN, service.port(), service::close);
    }
}
