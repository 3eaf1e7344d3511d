package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.edge.log.JsonLog;
import org.dragonflygw.platform.adapter.JsonTreeReader;
import org.dragonflygw.platform.adapter.SettingsDecoder;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class SettingsReloaderTest {
    private static final String SETTINGS = "{\"node_name\":\"edge-1\",\"ip\":\"10.1.0.40\",\"zone\":\"se-a\","
            + "\"listen\":{\"frontend\":\"10.1.0.40:8227\",\"readiness\":\"10.1.0.40:8220\"},"
            + "\"internal_ports\":[7340,7355],\"heartbeat_ms\":1200,\"platform\":{\"address\":\"10.200.1.7:8223\"},"
            + "\"bounds\":{\"drain_ms\":2000,\"grace_s\":8,\"config_apply_ms\":2000,\"revoke_ms\":5000,"
            + "\"retry_budget_ratio\":0.2,\"budget_slack\":52,\"retry_window_s\":10,\"cap_factor\":2}}";

    @TempDir
    Path dir;

    private final SettingsDecoder decoder = new SettingsDecoder(new JsonTreeReader());
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private Path file;
    private SettingsHolder holder;
    private JsonLog log;
    private SettingsReloader reload;

    @BeforeEach
    void start() throws IOException {
        file = dir.resolve("node.json");
        byte[] bytes = SETTINGS.getBytes(StandardCharsets.UTF_8);
        Files.write(file, bytes);
        holder = new SettingsHolder(decoder.decode(bytes));
        log = new JsonLog(out, InstantSource.system(), "edge-1");
        reload = new SettingsReloader(file, bytes, decoder, holder, log);
    }

    private String logged() {
        log.close();
        return out.toString(StandardCharsets.UTF_8);
    }

    private void write(String text) throws IOException {
        Files.writeString(file, text);
    }

    @Test
    void changedFileIsAppliedWithoutASignal() throws IOException {
        write(SETTINGS.replace("\"drain_ms\":2000", "\"drain_ms\":3000"));
        reload.reloadIfChanged();
        assertThat(holder.bounds().drainMs()).isEqualTo(3_000);
        assertThat(logged()).contains("IN_FORCE");
    }

    @Test
    void unchangedFileIsLoggedOnlyOnASignal() throws IOException {
        reload.reloadIfChanged();
        reload.onSignal();
        assertThat(logged().lines().count()).isEqualTo(1);
    }

    @Test
    void invalidFileKeepsTheSettingsAndIsLoggedOnce() throws IOException {
        write(SETTINGS.replace("\"drain_ms\":2000", "\"drain_ms\":-1"));
        reload.reloadIfChanged();
        reload.reloadIfChanged();
        assertThat(holder.bounds().drainMs()).isEqualTo(2_000);
        String lines = logged();
        assertThat(lines).contains("bounds.drain_ms");
        assertThat(lines.lines().count()).isEqualTo(1);
    }

    @Test
    void missingFileKeepsTheSettingsUntilItIsBack() throws IOException {
        Files.delete(file);
        reload.reloadIfChanged();
        reload.reloadIfChanged();
        assertThat(holder.bounds().drainMs()).isEqualTo(2_000);
        write(SETTINGS.replace("\"drain_ms\":2000", "\"drain_ms\":3000"));
        reload.reloadIfChanged();
        assertThat(holder.bounds().drainMs()).isEqualTo(3_000);
        assertThat(logged().lines().count()).isEqualTo(2);
    }
}
