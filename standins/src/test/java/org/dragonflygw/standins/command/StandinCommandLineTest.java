package org.dragonflygw.standins.command;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;
import org.dragonflygw.standins.http.TestHttp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class StandinCommandLineTest {
    private final StandinCommandLine commandLine =
            new StandinCommandLine(List.of(new PlatformCommand(), new EngineCommand(), new PlainCommand()));

    @Test
    void endpointsRegisterOnStartAndDeregisterOnStop() {
        RunningStandin platform = start("platform --host-list-lag-millis 0");
        String url = "http://127.0.0.1:" + platform.port();
        RunningStandin engine = start("engine --id e1 --pool large --models m@1,n@2 --platform " + url);
        RunningStandin plain = start("plain --id p1 --pool payments --platform " + url);

        String listed = TestHttp.call("GET", url + "/hosts", "").text();
        assertThat(listed).contains("\"id\":\"e1\",\"role\":\"ENGINE\"");
        assertThat(listed).contains("\"id\":\"p1\",\"role\":\"PLAIN\"");

        engine.stop();
        plain.stop();
        assertThat(TestHttp.call("GET", url + "/hosts", "").text()).contains("\"hosts\":[]");
        platform.stop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "router",
                "engine --port x",
                "engine --port 70000000000",
                "engine --models m",
                "plain --wrong"
            })
    void invalidArgumentsAreRejected(String arguments) {
        StandinException exception = assertThrows(StandinException.class, () -> start(arguments));

        assertThat(exception.code()).isEqualTo(StandinCode.USAGE);
    }

    private RunningStandin start(String arguments) {
        return commandLine.start(List.of(arguments.split(" ", -1)));
    }
}
