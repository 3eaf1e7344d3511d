package org.dragonflygw.standins;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.dragonflygw.standins.command.EngineCommand;
import org.dragonflygw.standins.command.LoopbackCommand;
import org.dragonflygw.standins.command.PlainCommand;
import org.dragonflygw.standins.command.PlatformCommand;
import org.dragonflygw.standins.command.RunningStandin;
import org.dragonflygw.standins.command.StandinCommandLine;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;

/** Starts one stand-in, prints its address on one line and runs until SIGTERM. */
public final class StandinsMain {
    private static final int USAGE_EXIT_CODE = 2;
    private static final int FAILED_EXIT_CODE = 1;

    private StandinsMain() {}

    /** Runs the subcommand named by the first argument. */
    public static void main(String[] arguments) throws InterruptedException {
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        StandinCommandLine commandLine = new StandinCommandLine(
                List.of(new PlatformCommand(), new EngineCommand(), new PlainCommand(), new LoopbackCommand()));
        try {
            RunningStandin standin = commandLine.start(List.of(arguments));
            CountDownLatch stopped = new CountDownLatch(1);
            Runtime.getRuntime().addShutdownHook(new Thread(standin::stop, "shutdown"));
            System.out.println("listening 127.0.0.1:" + standin.port());
            stopped.await();
        } catch (StandinException e) {
            System.err.println(e.getMessage());
            System.exit(e.code() == StandinCode.USAGE ? USAGE_EXIT_CODE : FAILED_EXIT_CODE);
        }
    }
}
