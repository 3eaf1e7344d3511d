package org.dragonflygw.edge;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dragonflygw.core.dispatch.ChoicePolicy;
import org.dragonflygw.core.error.CodedException;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.edge.log.JsonLog;
import org.dragonflygw.edge.stop.StopLimit;
import org.dragonflygw.platform.adapter.JsonTreeReader;
import org.dragonflygw.platform.adapter.SettingsDecoder;

/** Entry point of the router process of one host. Reads the settings file and starts an {@link EdgeNode}. */
public final class EdgeMain {
    private static final int EXIT_BAD_SETTINGS = 2;

    /** Interval in milliseconds at which the settings file, which is small, is read to detect a change. */
    private static final long SETTINGS_CHECK_MS = 4_000;

    /** Machine id for Netty's channel ids, which only Netty's own logs show; hosts have no hardware address to use. */
    private static final String MACHINE_ID = "02:00:00:00:00:01";

    private EdgeMain() {}

    /** Starts the process, which runs until it receives the signal TERM. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Signals.onHangUp(() -> {}); // Without a handler, HUP would end the process before the settings are read below.
        configureNetty();
        OptionParser parser = new OptionParser();
        OptionSpec<String> settingsFile = parser.accepts("settings", "path of the settings file of the host")
                .withRequiredArg()
                .defaultsTo(System.getenv().getOrDefault("DRAGONFLYGW_SETTINGS", ""));
        OptionSpec<Integer> metricsPort = parser.accepts("metrics-port", "port that serves the metrics")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(9464);
        OptionSpec<ChoicePolicy> policy = parser.accepts("choice", "policy for choosing endpoints")
                .withRequiredArg()
                .ofType(ChoicePolicy.class)
                .defaultsTo(ChoicePolicy.EXPECTED_TIME);
        OptionSpec<Void> train = parser.accepts("train", "run the class archive training on loopback and exit");
        OptionSet options = parser.parse(args);
        if (options.has(train)) {
            ArchiveTraining.run(
                    new JsonLog(new FileOutputStream(FileDescriptor.out), InstantSource.system(), "training"));
            System.exit(0);
        }
        Path path = Path.of(options.valueOf(settingsFile));
        byte[] bytes = Files.readAllBytes(path);
        SettingsDecoder decoder = new SettingsDecoder(new JsonTreeReader());
        HostSettings settings;
        try {
            settings = decoder.decode(bytes);
        } catch (CodedException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_BAD_SETTINGS);
            return;
        }
        JsonLog log = new JsonLog(
                new FileOutputStream(FileDescriptor.out),
                InstantSource.system(),
                settings.identity().hostName());
        SettingsHolder holder = new SettingsHolder(settings);
        SettingsReloader reloader = new SettingsReloader(path, bytes, decoder, holder, log);
        EdgeNode node = new EdgeNode(holder, options.valueOf(policy), log);
        Signals.onTerminate(() -> stop(node, log)); // Before the first request, which the default action would cut.
        node.start(options.valueOf(metricsPort));
        Signals.onHangUp(reloader::onSignal);
        node.scheduleWithFixedDelay(SETTINGS_CHECK_MS, reloader::reloadIfChanged);
    }

    /** Skips what Netty looks for at each start: a hardware address, logging libraries and the flight recorder. */
    private static void configureNetty() {
        System.setProperty("io.netty.machineId", MACHINE_ID);
        System.setProperty("io.netty.jfr.enabled", "false");
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** Ends the process, whatever the event loop and the log wait for. */
    private static void stop(EdgeNode node, JsonLog log) {
        StopLimit.start(node.graceMs(), () -> Runtime.getRuntime().halt(0));
        try {
            node.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.close();
        Runtime.getRuntime().halt(0);
    }
}
