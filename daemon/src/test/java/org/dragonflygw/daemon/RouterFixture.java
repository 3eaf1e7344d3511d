package org.dragonflygw.daemon;

import com.google.inject.AbstractModule;
import com.google.inject.Module;
import com.google.inject.multibindings.OptionalBinder;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflygw.core.config.ActiveSheet;
import org.dragonflygw.core.config.RoutingRule;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.config.ServiceKind;
import org.dragonflygw.core.config.Sheet;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.config.SheetVersion;
import org.dragonflygw.core.config.Team;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.fleet.EndpointState;
import org.dragonflygw.wire.settings.RouterSettings;

/** A router on ephemeral ports with a sheet and endpoints that the test sets, and an HTTP client of the router. */
public final class RouterFixture implements AutoCloseable {
    public static final String KEY = "clerk-key";
    public static final String KEY_SHA256 = "ff9dfccf6e241648c755b05e61e81ef598e5f7197ba7aac6cd46f3fda3ed6e3b";
    public static final String MODEL = "reviewer";
    public static final String PLAIN = "filings";
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicLong sheetNumber = new AtomicLong();
    private final RouterApplication application;
    private volatile ActiveSheet sheet = ActiveSheet.NONE;
    private volatile List<Endpoint> endpoints = List.of();

    public RouterFixture(RouterSettings settings, Module... more) {
        List<Module> modules = new ArrayList<>(List.of(more));
        modules.add(new AbstractModule() {
            @Override
            protected void configure() {
                OptionalBinder.newOptionalBinder(binder(), SheetSource.class)
                        .setBinding()
                        .toInstance(() -> sheet);
                OptionalBinder.newOptionalBinder(binder(), EndpointSource.class)
                        .setBinding()
                        .toInstance(pool -> endpoints.stream()
                                .filter(endpoint -> endpoint.pool().equals(pool))
                                .toList());
            }
        });
        application = new RouterApplication(settings, modules);
        application.start();
        useTokenGap(500);
    }

    public static RouterSettings settings() {
        return new RouterSettings()
                .setDaemonId("router-1")
                .setCallerPort(0)
                .setOperatorPort(0)
                .setPeerPort(0)
                .setAvailabilityZone("a")
                .setRegion("us-southeast")
                .setPlatformUrl("http://127.0.0.1:1")
                .setDeployment("peachtree")
                .setMaxBodyBytes(65_536)
                .setBalancerLagMillis(0);
    }

    public RouterApplication application() {
        return application;
    }

    /** Activates a sheet with one team, one model service and one plain service with the given token gap. */
    public void useTokenGap(long tokenGapMillis) {
        Team team = new Team("clerks", KEY_SHA256, 1, 0, 0);
        Service model = service(MODEL, ServiceKind.MODEL, tokenGapMillis);
        Service plain = service(PLAIN, ServiceKind.PLAIN, tokenGapMillis);
        List<RoutingRule> rules = List.of(
                new RoutingRule(RoutingRule.ANY_TEAM, MODEL, MODEL, 5),
                new RoutingRule(RoutingRule.ANY_TEAM, PLAIN, PLAIN, 5));
        long number = sheetNumber.incrementAndGet();
        sheet = new ActiveSheet(
                new SheetVersion(number, "digest-" + number),
                new Sheet(List.of(team), List.of(model, plain), rules, List.of()));
    }

    /** Leaves the router without an active sheet. */
    public void useNoSheet() {
        sheet = ActiveSheet.NONE;
    }

    public void useEndpoints(Endpoint... list) {
        endpoints = List.of(list);
    }

    public static Endpoint endpoint(String id, String pool, int port) {
        return new Endpoint(id, pool, "127.0.0.1", port, "a", "us-southeast", 1, EndpointState.LIVE);
    }

    /** Returns a chat completion request with the team's key. */
    public HttpRequest.Builder chat(String content, boolean stream, int tokens) {
        String body = "{\"model\":\"" + MODEL + "\",\"stream\":" + stream + ",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + content + "\"}]}";
        return call("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
    }

    /** Returns a request to the caller port with the team's key. */
    public HttpRequest.Builder call(String path) {
        return HttpRequest.newBuilder(callerUri(path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + KEY)
                .header("Content-Type", "application/json");
    }

    public URI callerUri(String path) {
        return URI.create("http://127.0.0.1:" + application.callerPort() + path);
    }

    /** Sends a GET request to the operator port. */
    public HttpResponse<String> operator(String path) throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + application.operatorPort() + path);
        return send(HttpRequest.newBuilder(uri).timeout(TIMEOUT));
    }

    public HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpClient http() {
        return http;
    }

    @Override
    public void close() {
        application.stop();
    }

    private static Service service(String name, ServiceKind kind, long tokenGapMillis) {
        String model = kind == ServiceKind.MODEL ? name : "";
        return new Service(name, kind, name, model, 1.25, 512, 512, 20_000, tokenGapMillis, 20, true);
    }
}
