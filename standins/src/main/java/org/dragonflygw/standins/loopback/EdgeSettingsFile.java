package org.dragonflygw.standins.loopback;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;

/**
 * Writes the settings file of one edge process on the loopback interface, in the platform's format.
 *
 * @param hostName name of the edge host
 * @param zone availability zone of the edge host
 * @param firstPort port for callers; the next two ports serve the readiness check and other edge hosts
 * @param storePort port of the platform's store
 */
public record EdgeSettingsFile(String hostName, String zone, int firstPort, int storePort) {
    private static final String LOOPBACK = "127.0.0.1";

    /** Number of consecutive ports that an edge process needs. */
    public static final int PORT_COUNT = 3;

    /** Writes the settings; throws {@link StandinException} when the file cannot be written. */
    public void write(Path file) {
        try {
            Files.write(file, content());
        } catch (IOException e) {
            throw new StandinException(StandinCode.USAGE, "cannot write settings file " + file, e);
        }
    }

    /** Returns the settings as JSON. */
    public byte[] content() {
        ObjectNode root = new ObjectMapper().createObjectNode();
        root.put("node_name", hostName);
        root.put("ip", LOOPBACK);
        root.put("zone", zone);
        root.putObject("listen")
                .put("frontend", LOOPBACK + ":" + firstPort)
                .put("readiness", LOOPBACK + ":" + (firstPort + 1));
        root.putArray("internal_ports").add(firstPort + 2).add(firstPort + 2);
        root.put("heartbeat_ms", 1_200);
        root.putObject("platform").put("address", LOOPBACK + ":" + storePort);
        root.putObject("bounds")
                .put("drain_ms", 2_000)
                .put("grace_s", 8)
                .put("config_apply_ms", 2_000)
                .put("revoke_ms", 5_000)
                .put("retry_budget_ratio", 0.2)
                .put("budget_slack", 52)
                .put("retry_window_s", 10)
                .put("cap_factor", 2);
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }
}
