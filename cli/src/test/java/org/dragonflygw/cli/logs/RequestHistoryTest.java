package org.dragonflygw.cli.logs;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class RequestHistoryTest {
    @TempDir
    Path dir;

    private static String line(int second, String host, String topic, String fields) {
        return String.format(
                "{\"time\":\"2026-10-16T18:12:%02dZ\",\"host\":\"%s\",\"topic\":\"%s\"%s}",
                second, host, topic, fields);
    }

    private static String attempt(int second, String host, String topic, String request, String moreFields) {
        return line(second, host, topic, ",\"request\":\"" + request + "\",\"endpoint\":\"i-1\"" + moreFields);
    }

    private RequestHistory history(String request, String... lines) throws IOException {
        Path file = dir.resolve("log");
        Files.write(file, List.of(lines));
        LogReader reader = new LogReader(new ObjectMapper());
        RequestHistory history = new RequestHistory(request);
        reader.read(file, history::addIfOfRequest);
        reader.read(file, history::addIfContext);
        return history;
    }

    @Nested
    final class Refused {
        @Test
        void unconfirmedKeysAreExplainedByAStoreOutage() throws IOException {
            RequestHistory history = history(
                    "q",
                    line(1, "h1", "DEPENDENCY_LOST", ",\"dependency\":\"store\",\"reason\":\"timeout\""),
                    line(2, "h2", "DEPENDENCY_REGAINED", ",\"dependency\":\"store\""),
                    line(7, "h1", "REFUSE", ",\"request\":\"q\",\"reason\":\"KEYS_UNCONFIRMED\""));
            assertThat(LikelyCause.describe(history)).contains("the store was lost at 2026-10-16T18:12:01Z: timeout");
        }

        @Test
        void unconfirmedKeysWithoutAnOutagePointToASuspendedHost() throws IOException {
            RequestHistory history =
                    history("q", line(7, "h1", "REFUSE", ",\"request\":\"q\",\"reason\":\"KEYS_UNCONFIRMED\""));
            assertThat(LikelyCause.describe(history)).contains("jump of the times");
        }
    }

    @Nested
    final class FailedAtAnEndpoint {
        @Test
        void causeCountsOtherFailuresAndNamesTheEndpointState() throws IOException {
            RequestHistory history = history(
                    "q",
                    attempt(3, "h1", "DISPATCH", "q", ""),
                    attempt(4, "h1", "ATTEMPT_FAILED", "q", ",\"outcome\":\"CONNECTION_LOST\""),
                    attempt(4, "h1", "END", "q", ",\"outcome\":\"ENDPOINT_FAILED\",\"totalMs\":900"),
                    attempt(4, "h2", "ATTEMPT_FAILED", "other", ",\"outcome\":\"CONNECTION_LOST\""),
                    attempt(20, "h2", "ATTEMPT_FAILED", "later", ",\"outcome\":\"CONNECTION_LOST\""),
                    line(5, "h3", "ENDPOINT", ",\"endpoint\":\"i-1\",\"outcome\":\"lapsed\""));
            assertThat(LikelyCause.describe(history)).contains("1 other attempts failed there");
            assertThat(LikelyCause.describe(history)).contains("its entry became lapsed");
        }
    }

    @Nested
    final class AtASilentEndpoint {
        private String cause(String outcome, String silence) throws IOException {
            return LikelyCause.describe(history(
                    "q",
                    attempt(3, "h1", "DISPATCH", "q", ""),
                    attempt(4, "h1", "SILENCE", "q", ",\"silentMs\":1003," + silence),
                    attempt(9, "h1", "END", "q", ",\"outcome\":\"" + outcome + "\",\"totalMs\":9000")));
        }

        @Test
        void causeSaysWhyNobodyTookOver() throws IOException {
            assertThat(cause("TIMED_OUT", "\"outcome\":\"kept\",\"reason\":\"NO_ENDPOINT_OF_VERSION\""))
                    .contains(
                            "i-1 had been silent for 1003 ms, and nobody else could take over: NO_ENDPOINT_OF_VERSION");
        }

        @Test
        void causeSaysThatAnotherEndpointWasAsked() throws IOException {
            assertThat(cause("cut", "\"outcome\":\"another endpoint is asked\""))
                    .contains("i-1 had been silent for 1003 ms: another endpoint is asked");
        }
    }

    @Nested
    final class PassedToOtherHosts {
        private String cause(String... relayOutcomes) throws IOException {
            String[] lines = new String[relayOutcomes.length + 1];
            lines[0] = attempt(3, "h1", "END", "q", ",\"outcome\":\"UNREACHABLE\"");
            for (int i = 0; i < relayOutcomes.length; i++) {
                String fields =
                        ",\"request\":\"q\",\"peer\":\"h2\",\"tries\":1,\"outcome\":\"" + relayOutcomes[i] + "\"";
                lines[i + 1] = line(4 + i, "h1", "RELAY", fields);
            }
            return LikelyCause.describe(history("q", lines));
        }

        @Test
        void causeSaysThatNoHostReachedAnEndpoint() throws IOException {
            assertThat(cause("asked", "UNREACHABLE", "no host left"))
                    .contains("and 1 other hosts that were asked neither");
        }

        @Test
        void causeNamesTheHostThatMayHaveRunIt() throws IOException {
            assertThat(cause("asked", "connection lost")).contains("passed it to h2, which may have run it");
        }
    }

    @Test
    void causeNamesAnExhaustedRetryBudget() throws IOException {
        RequestHistory history = history(
                "q",
                attempt(3, "h1", "DISPATCH", "q", ""),
                attempt(4, "h1", "ATTEMPT_FAILED", "q", ",\"outcome\":\"failure answer\",\"status\":500"),
                line(4, "h1", "RETRY", ",\"request\":\"q\",\"granted\":false,\"requests\":60,\"retries\":9"),
                attempt(4, "h1", "END", "q", ",\"outcome\":\"endpoint failed\",\"status\":500"));
        assertThat(LikelyCause.describe(history)).contains("budget of its service was used up on this host (9 retries");
    }

    @Test
    void causeSaysWhenNoEndWasLogged() throws IOException {
        assertThat(LikelyCause.describe(history("q", attempt(3, "h1", "DISPATCH", "q", ""))))
                .contains("no end of it");
    }

    @Test
    void hostLinesKeepOnlyTheLastOfEachTopicBeforeTheEnd() throws IOException {
        RequestHistory history = history(
                "q",
                line(1, "h1", "CONFIGURATION", ",\"configVersion\":1"),
                line(2, "h1", "CONFIGURATION", ",\"configVersion\":2"),
                attempt(3, "h1", "END", "q", ",\"outcome\":\"ok\""),
                line(4, "h1", "CONFIGURATION", ",\"configVersion\":3"));
        assertThat(history.hostLines()).hasSize(1);
        assertThat(history.hostLines().get(0).number("configVersion")).isEqualTo(2);
    }

    @Test
    void prefixesAreSkippedAndUnreadableLinesAreCounted() throws IOException {
        Path file = dir.resolve("mixed");
        Files.writeString(file, "  1.25 h1 " + line(1, "h1", "START", "") + "\nno log line {\n\n");
        LogReader reader = new LogReader(new ObjectMapper());
        RequestHistory history = new RequestHistory("q");
        reader.read(file, history::addIfOfRequest);
        assertThat(reader.unreadableLines()).isEqualTo(2);
        assertThat(history.isFound()).isFalse();
    }
}
