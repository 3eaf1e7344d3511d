package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the router as a separate process. */
final class EdgeMainTest {
    private static final int EXIT_BAD_SETTINGS = 2;
    private static final int WAIT_S = 30;

    @TempDir
    Path dir;

    private Process start(String... options) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                EdgeMain.class.getName()));
        command.addAll(List.of(options));
        return new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    @Test
    void invalidSettingsEndTheProcessWithAMessageThatNamesThem() throws Exception {
        Path file = dir.resolve("node.json");
        Files.writeString(file, "{\"zone\":7}");
        Process p = start("--settings", file.toString());
        String output = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(p.waitFor(WAIT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(p.exitValue()).isEqualTo(EXIT_BAD_SETTINGS);
        assertThat(output).contains("zone: ");
        assertThat(output).contains("bounds.drain_ms: ");
    }
}
