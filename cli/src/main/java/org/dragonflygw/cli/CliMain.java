package org.dragonflygw.cli;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import org.dragonflygw.cli.command.EnginesCommand;
import org.dragonflygw.cli.command.ExplainCommand;
import org.dragonflygw.cli.command.FleetCommand;
import org.dragonflygw.cli.command.RequestsCommand;
import org.dragonflygw.cli.command.SheetApplyCommand;
import org.dragonflygw.cli.command.SheetCheckCommand;
import org.dragonflygw.cli.command.SheetDiffCommand;
import org.dragonflygw.cli.command.SheetShowCommand;
import org.dragonflygw.cli.command.TeamsCommand;
import org.dragonflygw.cli.command.TimelineCommand;

/** Entry point of {@code dragonflygw}, the operators' command line. */
public final class CliMain {
    /** Printed by {@code --version} when the classes don't come from a packaged jar. */
    private static final String UNPACKAGED_VERSION = "development";

    private CliMain() {}

    public static void main(String[] args) {
        ExitCode code;
        try (HttpOperatorClient client = new HttpOperatorClient()) {
            CommandLine line = new CommandLine(commands(), client, json(), System.getenv(), version());
            code = line.run(args, System.out, System.err);
        }
        System.exit(code.number());
    }

    /** All commands, in the order of the help text. */
    static List<Command> commands() {
        return List.of(
                new SheetCheckCommand(),
                new SheetDiffCommand(),
                new SheetApplyCommand(),
                new SheetShowCommand(),
                new FleetCommand(),
                new EnginesCommand(),
                new TeamsCommand(),
                new RequestsCommand(),
                new ExplainCommand(),
                new TimelineCommand());
    }

    /** JSON mapper for answers of daemons; unknown properties are ignored. */
    static ObjectMapper json() {
        return JsonMapper.builder()
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
    }

    private static String version() {
        String packaged = CliMain.class.getPackage().getImplementationVersion();
        return packaged == null ? UNPACKAGED_VERSION : packaged;
    }
}
