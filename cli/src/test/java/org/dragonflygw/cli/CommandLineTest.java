package org.dragonflygw.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.dragonflygw.core.config.Sheet;
import org.dragonflygw.core.config.SheetWriter;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CommandLineTest {
    private static final String FLEET =
            "{\"daemonId\":\"a\",\"deployment\":\"d\",\"sheetNumber\":3,\"sheetDigest\":\"abc\",\"services\":[],"
                    + "\"members\":[{\"daemonId\":\"a\",\"address\":\"1.1.1.1\",\"operatorPort\":1,"
                    + "\"status\":\"ALIVE\"},{\"daemonId\":\"b\",\"address\":\"1.1.1.2\",\"operatorPort\":2,"
                    + "\"status\":\"ALIVE\"},{\"daemonId\":\"c\",\"address\":\"1.1.1.3\",\"operatorPort\":3,"
                    + "\"status\":\"dead\"}]}";

    private final FakeOperatorClient client = new FakeOperatorClient().reply("1.1.1.1:1", "/v1/fleet", 200, FLEET);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String... words) {
        CommandLine line = new CommandLine(
                CliMain.commands(),
                client,
                CliMain.json(),
                Map.of(CommandLine.DAEMONS_VARIABLE, "9.9.9.9:9, 1.1.1.1:1"),
                "test");
        return line.run(
                words,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private static String event(String daemon, long millis, String type) {
        return "{\"at\":{\"physicalMillis\":" + millis + ",\"logical\":0},\"daemonId\":\"" + daemon + "\",\"type\":\""
                + type + "\",\"subject\":{\"requestId\":\"q\",\"chatId\":\"\",\"endpointId\":\"<e>\",\"team\":\"t\","
                + "\"key\":\"\",\"lease\":\"\"},\"detail\":\"\"}";
    }

    private static String view(String daemon, String... events) {
        return "{\"daemonId\":\"" + daemon + "\",\"events\":[" + String.join(",", events) + "]}";
    }

    @Nested
    final class Usage {
        @Test
        void helpNamesEveryCommandAndExitCode() {
            assertThat(run("--help")).isEqualTo(ExitCode.OK);
            CliMain.commands().forEach(command -> assertThat(output()).contains(command.name()));
            assertThat(output()).contains(ExitCode.PARTIAL.meaning());
        }

        @Test
        void unknownCommandGetsSimilarCommandsSuggested() {
            assertThat(run("time")).isEqualTo(ExitCode.USAGE);
            assertThat(errors()).contains("did you mean timeline?");
        }

        @Test
        void invalidOptionsAreUsageErrors() {
            assertThat(run("fleet", "--nope")).isEqualTo(ExitCode.USAGE);
            assertThat(run("fleet", "--daemon", "x")).isEqualTo(ExitCode.USAGE);
            assertThat(run("fleet", "--output", "xml")).isEqualTo(ExitCode.USAGE);
            assertThat(run("timeline", "request")).isEqualTo(ExitCode.USAGE);
            assertThat(run("timeline", "--limit", "-1")).isEqualTo(ExitCode.USAGE);
        }
    }

    @Nested
    final class Reading {
        @Test
        void nextDaemonIsAskedWhenTheFirstIsDown() {
            client.reply("1.1.1.1:1", "/v1/engines", 200, "[]");
            assertThat(run("engines", "--output", "json")).isEqualTo(ExitCode.OK);
            assertThat(output().strip()).isEqualTo("[]");
        }

        @Test
        void exitCodeIsUnreachableWhenNoDaemonAnswers() {
            assertThat(run("engines", "--daemon", "8.8.8.8:1")).isEqualTo(ExitCode.UNREACHABLE);
        }

        @Test
        void exitCodeIsFailedWhenTheAnswerIsNotJson() {
            client.reply("1.1.1.1:1", "/v1/engines", 200, "<html>");
            assertThat(run("engines")).isEqualTo(ExitCode.FAILED);
        }

        @Test
        void teamsAreSummedOverAnsweringDaemons() {
            String team = "[{\"name\":\"t\",\"weight\":2,\"accepted\":5,\"firstTokenP95Millis\":%s}]";
            client.reply("1.1.1.1:1", "/v1/teams", 200, String.format(team, "7.0"));
            client.reply("1.1.1.2:2", "/v1/teams", 200, String.format(team, "9.0"));
            assertThat(run("teams", "--output", "json")).isEqualTo(ExitCode.PARTIAL);
            assertThat(output()).contains("\"accepted\":10");
            assertThat(output()).contains("\"firstTokenP95Millis\":9.0");
        }
    }

    @Nested
    final class Timeline {
        @Test
        void eventsAreMergedAndSilentDaemonsAreNamed() {
            client.reply("1.1.1.1:1", "/v1/timeline", 200, view("a", event("a", 20, "DISPATCHED")));
            client.reply("1.1.1.2:2", "/v1/timeline", 200, view("b", event("b", 10, "GRANT_GIVEN")));
            assertThat(run("timeline", "request", "q")).isEqualTo(ExitCode.PARTIAL);
            assertThat(output().indexOf("GRANT_GIVEN")).isLessThan(output().indexOf("DISPATCHED"));
            assertThat(errors()).contains("9.9.9.9:9");
        }

        @Test
        void deadDaemonsAreNotAsked() {
            client.reply("1.1.1.1:1", "/v1/timeline", 200, view("a"));
            run("timeline");
            assertThat(errors()).doesNotContain("1.1.1.3:3");
        }

        @Test
        void explainGroupsTheEventsOfARequest() {
            client.reply("1.1.1.1:1", "/v1/timeline", 200, view("a", event("a", 20, "CANDIDATES_RANKED")));
            assertThat(run("explain", "q")).isEqualTo(ExitCode.PARTIAL);
            assertThat(output()).contains("choice of the endpoint");
        }

        @Test
        void explainFailsForAnUnknownRequest() {
            client.reply("1.1.1.1:1", "/v1/timeline", 200, view("a"));
            assertThat(run("explain", "q")).isEqualTo(ExitCode.FAILED);
        }
    }

    @Nested
    final class Sheets {
        @TempDir
        private Path folder;

        private String file(String content) throws IOException {
            return Files.writeString(folder.resolve("sheet.csv"), content).toString();
        }

        @Test
        void checkNamesRowAndColumn() throws IOException {
            byte[] empty = new SheetWriter().write(Sheet.EMPTY);
            String header = new String(empty, StandardCharsets.UTF_8).strip();
            String row = header.replaceAll("[^,]+", "").replaceFirst("^", "team,many");
            assertThat(run("sheet", "check", file(header + "\n" + row + "\n"))).isEqualTo(ExitCode.INVALID_SHEET);
            assertThat(output()).contains("row 2, column weight");
        }

        @Test
        void applyPrintsTheVersionOfAnAcceptedSheet() throws IOException {
            client.reply("1.1.1.1:1", "/v1/sheet", 200, "{\"daemonId\":\"a\",\"number\":3}");
            String accepted = "{\"accepted\":true,\"number\":4,\"digest\":\"d4\",\"changes\":[]}";
            client.reply("1.1.1.1:1", "/v1/sheet/apply", 200, accepted);
            assertThat(run("sheet", "apply", file("x"))).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("accepted as version 4");
        }

        @Test
        void conflictPrintsTheOtherOperatorAndTheDifferences() throws IOException {
            String lost = "{\"accepted\":false,\"number\":5,\"digest\":\"d5\",\"operator\":\"ana\","
                    + "\"changes\":[\"changed team clerks\"]}";
            client.reply("1.1.1.1:1", "/v1/sheet/apply", 409, lost);
            assertThat(run("sheet", "apply", file("x"), "--expected", "4")).isEqualTo(ExitCode.CONFLICT);
            assertThat(output()).contains("ana applied version 5 first");
            assertThat(output()).contains("changed team clerks");
        }

        @Test
        void failedApplyPrintsHowToRetryIt() throws IOException {
            client.reply("1.1.1.1:1", "/v1/sheet/apply", 503, "{}");
            assertThat(run("sheet", "apply", file("x"), "--expected", "4", "--token", "t1"))
                    .isEqualTo(ExitCode.FAILED);
            assertThat(errors()).contains("--expected 4 --token t1");
        }
    }
}
