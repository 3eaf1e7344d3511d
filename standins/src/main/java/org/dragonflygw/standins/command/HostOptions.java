package org.dragonflygw.standins.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.fleet.HostState;

/** Options of an endpoint that registers itself in the platform's host list. */
final class HostOptions {
    private HostOptions() {}

    static void declare(OptionParser parser, String defaultId, String defaultPool) {
        Options.number(parser, "port", 0, "port; 0 for an ephemeral one");
        Options.text(parser, "id", defaultId, "unique name of the host");
        Options.text(parser, "pool", defaultPool, "pool of endpoints");
        Options.text(parser, "zone", "az-1", "availability zone");
        Options.text(parser, "region", "region-1", "region");
        Options.text(parser, "platform", "", "base URL of the platform to register with; empty for none");
    }

    /** Registers the endpoint in the host list if a platform is given, and removes the endpoint on stop. */
    static RunningStandin register(OptionSet options, HostRole role, int port, Runnable stop) {
        String platform = Options.text(options, "platform");
        if (platform.isEmpty()) {
            return runningStandin(port, stop);
        }
        HostEntry host = new HostEntry(
                Options.text(options, "id"),
                role,
                "127.0.0.1",
                port,
                Options.text(options, "zone"),
                Options.text(options, "region"),
                Options.text(options, "pool"),
                HostState.LIVE);
        HostRegistration registration = new HostRegistration(platform);
        registration.register(host);
        return runningStandin(port, () -> {
            registration.remove(host.id());
            stop.run();
        });
    }

    static RunningStandin runningStandin(int port, Runnable stop) {
        return new RunningStandin() {
            @Override
            public int port() {
                return port;
            }

            @Override
            public void stop() {
                stop.run();
            }
        };
    }
}
