package org.dragonflygw.edge;

import com.fasterxml.jackson.databind.ObjectMapper;
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
import org.dragonflygw.platform.adapter.SettingsDecoder;

/** Starts the router process of one host. */
public final class EdgeMain {
    private static final int EXIT_BAD_SETTINGS = 2;

    /** Pause between looks at the settings file in milliseconds; each is one read of a small file. */
    private static final long SETTINGS_CHECK_MS = 4_000;

    /** Part of the ids of channels, which only logs of the network library show; hosts have no hardware address. */
    private static final String MACHINE_ID = "02:00:00:00:00:01";

    private EdgeMain() {}

    /** Runs until it is told to stop. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Signals.onHangUp(() -> {}); // Without a handler it would end the process; the settings are read below.
        System.setProperty("io.netty.machineId", MACHINE_ID);
        OptionParser parser = new OptionParser();
        OptionSpec<String> file = parser.accepts("settings", "settings file of the host")
                .withRequiredArg()
                .defaultsTo(System.getenv().getOrDefault("DRAGONFLYGW_SETTINGS", ""));
        OptionSpec<Integer> metricsPort = parser.accepts("metrics-port", "port of the metrics")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(9464);
        OptionSpec<ChoicePolicy> policy = parser.accepts("choice", "how endpoints are chosen")
                .withRequiredArg()
                .ofType(ChoicePolicy.class)
                .defaultsTo(ChoicePolicy.EXPECTED_TIME);
        OptionSpec<Void> train = parser.accepts("train", "serve a few requests on loopback and end");
        OptionSet options = parser.parse(args);
        if (options.has(train)) {
            ArchiveTraining.run(
                    new JsonLog(new FileOutputStream(FileDescriptor.out), InstantSource.system(), "training"));
            System.exit(0);
        }
        Path path = Path.of(options.valueOf(file));
        byte[] bytes = Files.readAllBytes(path);
        SettingsDecoder decoder = new SettingsDecoder(new ObjectMapper());
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
        SettingsReloader reload = new SettingsReloader(path, bytes, decoder, holder, log);
        EdgeNode node = new EdgeNode(holder, options.valueOf(policy), log);
        node.start(options.valueOf(metricsPort));
        Signals.onTerminate(() -> stop(node, log));
        Signals.onHangUp(reload::onSignal);
        node.scheduleWithFixedDelay(SETTINGS_CHECK_MS, reload::reloadIfChanged);
    }

    private static void stop(EdgeNode node, JsonLog log) {
        try {
            node.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.close();
        Runtime.getRuntime().halt(0);
    }
}
