package org.dragonflygw.standins.command;

import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dragonflygw.standins.loopback.EdgeSettingsFile;
import org.dragonflygw.standins.loopback.LoopbackPlatform;

/** Subcommand {@code loopback}: starts a {@link LoopbackPlatform} and writes settings files for edge processes. */
public final class LoopbackCommand implements StandinCommand {
    /** Ports reserved for each edge process: callers, readiness, other hosts, metrics. */
    private static final int PORTS_PER_HOST = 10;

    @Override
    public String name() {
        return "loopback";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        Options.number(parser, "port", 0, "port; 0 for an ephemeral one");
        Options.text(parser, "host-name", LoopbackPlatform.HOST, "host name of all routes");
        Options.number(parser, "hosts", 2, "number of edge processes for which settings are written");
        Options.number(
                parser,
                "first-port",
                18_500,
                "first port of the first edge process; each further process starts ten ports higher");
        Options.text(parser, "settings-dir", ".", "directory of the settings files edge-N.json");
    }

    @Override
    public RunningStandin start(OptionSet options) {
        LoopbackPlatform platform =
                new LoopbackPlatform(Options.integer(options, "port"), Options.text(options, "host-name"));
        Path dir = Path.of(Options.text(options, "settings-dir"));
        int firstPort = Options.integer(options, "first-port");
        for (int i = 1; i <= Options.integer(options, "hosts"); i++) {
            int port = firstPort + (i - 1) * PORTS_PER_HOST;
            new EdgeSettingsFile("edge-" + i, "zone-a", port, platform.port())
                    .write(dir.resolve("edge-" + i + ".json"));
        }
        return HostOptions.runningStandin(platform.port(), platform::close);
    }
}
