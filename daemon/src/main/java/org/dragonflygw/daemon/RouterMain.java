package org.dragonflygw.daemon;

import com.google.inject.Module;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.config.Configurator;
import org.dragonflygw.wire.settings.RouterSettings;
import org.dragonflygw.wire.settings.SettingsException;
import org.dragonflygw.wire.settings.SettingsReader;

/** Entry point of the process {@code dragonflygw-router}. */
public final class RouterMain {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final String VERSION = "0.1.0";

    private RouterMain() {}

    /** Reads the settings, starts the daemon and blocks until a planned stop, which SIGTERM triggers, has ended. */
    public static void main(String[] arguments) throws Exception {
        SettingsReader reader = new SettingsReader();
        if (SettingsReader.asksForHelp(arguments)) {
            print(System.out, reader.help());
            return;
        }
        if (SettingsReader.asksForVersion(arguments)) {
            print(System.out, "dragonflygw-router " + VERSION + "\n");
            return;
        }
        RouterSettings settings;
        try {
            settings = reader.read(System.getenv(), arguments);
        } catch (SettingsException e) {
            print(System.err, e.getMessage() + "\nSee --help.\n");
            System.exit(EXIT_USAGE);
            return;
        }
        serve(settings);
    }

    private static void serve(RouterSettings settings) throws Exception {
        Configurator.setRootLevel(Level.valueOf(settings.getLogLevel()));
        Logger log = LogManager.getLogger(RouterMain.class);
        List<Module> subsystems = Subsystems.all();
        RouterApplication application = new RouterApplication(settings, subsystems);
        try {
            application.start();
        } catch (DaemonException e) {
            log.fatal("daemon {} could not start", settings.getDaemonId(), e);
            LogManager.shutdown();
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
        log.info(
                "daemon {} serves callers at {}:{}, operators at port {}, peers at port {}",
                settings.getDaemonId(),
                settings.getHost(),
                application.callerPort(),
                application.operatorPort(),
                application.peerPort());
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(application, log, stopped), "planned-stop"));
        stopped.await();
    }

    private static void stop(RouterApplication application, Logger log, CountDownLatch stopped) {
        int exitCode = EXIT_FAILED;
        try {
            boolean finished = application.stopGracefully();
            exitCode = finished ? EXIT_OK : EXIT_FAILED;
            log.info("stopped; every open request ended: {}", finished);
        } catch (DaemonException e) {
            log.error("planned stop failed", e);
        } finally {
            LogManager.shutdown();
            stopped.countDown();
            Runtime.getRuntime().halt(exitCode);
        }
    }

    private static void print(PrintStream out, String text) {
        out.print(text);
        out.flush();
    }
}
