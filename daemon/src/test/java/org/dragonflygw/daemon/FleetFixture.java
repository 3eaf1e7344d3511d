package org.dragonflygw.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.standins.platform.PlatformConfig;
import org.dragonflygw.standins.platform.PlatformServer;
import org.dragonflygw.wire.settings.RouterSettings;

/** Several complete routers in one process, with the platform stand-in. */
public final class FleetFixture {
    public static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final int GOSSIP_MILLIS = 200;

    private final PlatformServer platform = new PlatformServer(PlatformConfig.UNLIMITED);
    private final Map<String, RouterApplication> routers = new TreeMap<>();
    private final HttpClient http = HttpClient.newHttpClient();

    /** Starts a router and adds the router to the host list. */
    public RouterApplication start(String id) throws Exception {
        RouterSettings settings = new RouterSettings()
                .setDaemonId(id)
                .setCallerPort(0)
                .setOperatorPort(0)
                .setPeerPort(0)
                .setAvailabilityZone("a")
                .setRegion("us-southeast")
                .setPlatformUrl(platform.baseUrl())
                .setDeployment("peachtree")
                .setGossipIntervalMillis(GOSSIP_MILLIS)
                .setHostListPollMillis(GOSSIP_MILLIS)
                .setStorePollMillis(GOSSIP_MILLIS)
                .setBalancerLagMillis(0);
        RouterApplication router = new RouterApplication(settings, Subsystems.all());
        router.start();
        routers.put(id, router);
        platform.register(new HostEntry(
                id, HostRole.ROUTER, "127.0.0.1", router.peerPort(), "a", "us-southeast", "", HostState.LIVE));
        return router;
    }

    public RouterApplication router(String id) {
        return routers.get(id);
    }

    public PlatformServer platform() {
        return platform;
    }

    /** Stops a router without a planned stop and removes the router from the host list. */
    public void kill(String id) throws Exception {
        routers.remove(id).stop();
        platform.removeHost(id);
    }

    /** Returns the version number of the active sheet of a router. */
    public long sheetNumber(String id) {
        return router(id)
                .injector()
                .getInstance(ActiveSheetHolder.class)
                .current()
                .version()
                .number();
    }

    public boolean allHaveSheet(long number) {
        return routers.keySet().stream().allMatch(id -> sheetNumber(id) == number);
    }

    public boolean isReady(String id) throws IOException, InterruptedException {
        return get(id, "/health/ready").statusCode() == 200;
    }

    public HttpResponse<String> get(String id, String path) throws IOException, InterruptedException {
        return http.send(request(id, path).build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> post(String id, String path, byte[] body) throws IOException, InterruptedException {
        HttpRequest request = request(id, path)
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> apply(String id, byte[] sheet, long expected, String token)
            throws IOException, InterruptedException {
        return post(id, "/v1/sheet/apply?expected=" + expected + "&token=" + token + "&operator=ana", sheet);
    }

    public static byte[] exampleSheet(String name) throws IOException {
        return Files.readAllBytes(Path.of("..", "examples", name));
    }

    /** Waits for a condition; returns false when the condition does not hold within 30 seconds. */
    public static boolean eventually(BooleanSupplier condition) {
        long steps = TIMEOUT.dividedBy(STEP);
        for (long i = 0; i < steps; i++) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Uninterruptibles.sleepUninterruptibly(STEP);
        }
        return condition.getAsBoolean();
    }

    /** Stops all routers and the platform. */
    public void stopAll() throws Exception {
        List<RouterApplication> running = new ArrayList<>(routers.values());
        routers.clear();
        for (RouterApplication router : running) {
            router.stop();
        }
        platform.close();
    }

    private HttpRequest.Builder request(String id, String path) {
        URI uri = URI.create("http://127.0.0.1:" + router(id).operatorPort() + path);
        return HttpRequest.newBuilder(uri).timeout(TIMEOUT);
    }
}
