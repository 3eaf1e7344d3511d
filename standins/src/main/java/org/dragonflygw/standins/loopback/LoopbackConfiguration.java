package org.dragonflygw.standins.loopback;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The operator's configuration that {@link LoopbackPlatform} stores: one streaming route to engines and two plain
 * routes to an application.
 *
 * @param version version of the configuration
 * @param hostName host name of all routes
 * @param keys API keys of the only team
 */
public record LoopbackConfiguration(long version, String hostName, List<String> keys) {
    /** Name of the service behind the streaming route. */
    public static final String ENGINES = "engines";

    /** Name of the service behind the plain routes. */
    public static final String APPLICATIONS = "applications";

    public LoopbackConfiguration {
        keys = List.copyOf(keys);
    }

    /** Returns the configuration as JSON in the platform's format. */
    public byte[] json() {
        ObjectNode root = new ObjectMapper().createObjectNode();
        root.put("version", version);
        ArrayNode routes = root.putArray("routes");
        route(routes.addObject(), "stream", LoopbackPlatform.STREAM_PREFIX, "streaming", ENGINES);
        route(routes.addObject(), "once", LoopbackPlatform.ONCE_PREFIX, "non_idempotent", APPLICATIONS);
        route(routes.addObject(), "plain", LoopbackPlatform.PLAIN_PREFIX, "idempotent", APPLICATIONS);
        ArrayNode services = root.putArray("services");
        ObjectNode engines = services.addObject();
        engines.put("name", ENGINES);
        engines.putObject("backend")
                .put("slots", 64)
                .put("kv_capacity", 600_000)
                .put("kv_bytes", 18_432);
        services.addObject().put("name", APPLICATIONS).put("max_connections", 96);
        ObjectNode team = root.putArray("tenants").addObject();
        team.put("name", "team-1");
        ArrayNode apiKeys = team.putArray("api_keys");
        keys.forEach(apiKeys::add);
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void route(ObjectNode route, String name, String prefix, String kind, String service) {
        route.put("name", name);
        route.put("host", hostName);
        route.put("path_prefix", prefix);
        route.put("route_kind", kind);
        route.put("timeout_ms", 10_000);
        route.put("slo_ms", 1_000);
        route.put("priority", 1);
        route.put("service", service);
        route.put("max_attempts", 2);
        route.put("stream_resume", true);
        route.put("itl_target_ms", 400);
    }
}
