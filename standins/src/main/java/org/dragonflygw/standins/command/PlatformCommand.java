package org.dragonflygw.standins.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dragonflygw.standins.platform.PlatformConfig;
import org.dragonflygw.standins.platform.PlatformServer;

/** Starts the platform stand-in. */
public final class PlatformCommand implements StandinCommand {
    private static final PlatformConfig TODAY = PlatformConfig.ofToday(0);

    @Override
    public String name() {
        return "platform";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        Options.number(parser, "port", 0, "port; 0 for an ephemeral one");
        Options.number(parser, "reads-per-second", TODAY.readsPerSecond(), "reads a second; 0 for no limit");
        Options.number(parser, "writes-per-second", TODAY.writesPerSecond(), "writes a second; 0 for no limit");
        Options.number(parser, "weight-bytes-per-second", TODAY.weightBytesPerSecond(), "bytes a second; 0 for any");
        Options.number(parser, "weight-size-bytes", TODAY.weightSizeBytes(), "size of the weights of one model");
        Options.number(parser, "host-list-lag-millis", TODAY.hostListLagMillis(), "lag of the host list");
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
        return HostOptions.running(platform.port(), platform::close);
    }
}
