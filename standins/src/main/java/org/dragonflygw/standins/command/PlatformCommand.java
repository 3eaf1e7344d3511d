package org.dragonflygw.standins.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dragonflygw.standins.platform.PlatformConfig;
import org.dragonflygw.standins.platform.PlatformServer;

/** Subcommand {@code platform}: starts a {@link PlatformServer}. */
public final class PlatformCommand implements StandinCommand {
    private static final PlatformConfig DEFAULTS = PlatformConfig.withPlatformRates(0);

    @Override
    public String name() {
        return "platform";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        Options.number(parser, "port", 0, "port; 0 for an ephemeral one");
        Options.number(parser, "reads-per-second", DEFAULTS.readsPerSecond(), "reads per second; 0 for no limit");
        Options.number(parser, "writes-per-second", DEFAULTS.writesPerSecond(), "writes per second; 0 for no limit");
        Options.number(
                parser,
                "weight-bytes-per-second",
                DEFAULTS.weightBytesPerSecond(),
                "weight bytes per second; 0 for no limit");
        Options.number(
                parser, "weight-size-bytes", DEFAULTS.weightSizeBytes(), "size of the weights of one model version");
        Options.number(
                parser, "host-list-lag-millis", DEFAULTS.hostListLagMillis(), "time by which the host list lags");
    }

    @Override
    public RunningStandin start(OptionSet options) {
        PlatformServer platform = new PlatformServer(new PlatformConfig(
                Options.integer(options, "port"),
                Options.integer(options, "reads-per-second"),
                Options.integer(options, "writes-per-second"),
                Options.number(options, "weight-bytes-per-second"),
                Options.number(options, "weight-size-bytes"),
                Options.number(options, "host-list-lag-millis")));
        return HostOptions.runningStandin(platform.port(), platform::close);
    }
}
