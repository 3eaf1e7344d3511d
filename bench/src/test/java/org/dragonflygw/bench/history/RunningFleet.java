package org.dragonflygw.bench.history;

import com.google.inject.AbstractModule;
import com.google.inject.Module;
import com.google.inject.multibindings.OptionalBinder;
import java.util.ArrayList;
import java.util.List;
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
import org.dragonflygw.daemon.PlatformModule;
import org.dragonflygw.daemon.RouterApplication;
import org.dragonflygw.daemon.ledger.LedgerModule;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineServer;
import org.dragonflygw.standins.plain.PlainServer;
import org.dragonflygw.standins.platform.PlatformConfig;
import org.dragonflygw.standins.platform.PlatformServer;
import org.dragonflygw.wire.settings.RouterSettings;

/** Two routers, two engines, one plain service and the platform stand-in, all listening on ephemeral ports. */
final class RunningFleet implements AutoCloseable {
    static final String KEY = "clerk-key";
    static final String MODEL = "reviewer";
    static final String PLAIN = "fees";

    private static final String KEY_SHA256 = "ff9dfccf6e241648c755b05e61e81ef598e5f7197ba7aac6cd46f3fda3ed6e3b";
    private static final int ROUTERS = 2;
    private static final int ENGINES = 2;

    final PlatformServer platform = new PlatformServer(PlatformConfig.UNLIMITED);
    final PlainServer plain = new PlainServer("plain-1", 0);
    final List<EngineServer> engines = new ArrayList<>();
    final List<RouterApplication> routers = new ArrayList<>();

    RunningFleet() throws Exception {
        List<Endpoint> endpoints = new ArrayList<>();
        endpoints.add(endpoint("plain-1", PLAIN, plain.port()));
        for (int i = 1; i <= ENGINES; i++) {
            EngineServer engine = new EngineServer(EngineConfig.defaults("engine-" + i));
            engines.add(engine);
            endpoints.add(endpoint(engine.id(), MODEL, engine.port()));
        }
        for (int i = 1; i <= ROUTERS; i++) {
            RouterApplication router = new RouterApplication(
                    settings("router-" + i), List.of(new PlatformModule(), new LedgerModule(), sources(endpoints)));
            router.start();
            routers.add(router);
        }
    }

    @Override
    public void close() {
        for (RouterApplication router : routers) {
            stop(router);
        }
        engines.forEach(EngineServer::close);
        plain.close();
        platform.close();
    }

    private static void stop(RouterApplication router) {
        try {
            router.stop();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private RouterSettings settings(String id) {
        return new RouterSettings()
                .setDaemonId(id)
                .setCallerPort(0)
                .setOperatorPort(0)
                .setPeerPort(0)
                .setAvailabilityZone("a")
                .setRegion("us-southeast")
                .setPlatformUrl(platform.baseUrl())
                .setDeployment("peachtree")
                .setBalancerLagMillis(0);
    }

    private static Module sources(List<Endpoint> endpoints) {
        Sheet sheet = new Sheet(
                List.of(new Team("clerks", KEY_SHA256, 1, 0, 0)),
                List.of(service(MODEL, ServiceKind.MODEL), service(PLAIN, ServiceKind.PLAIN)),
                List.of(rule(MODEL), rule(PLAIN)),
                List.of());
        ActiveSheet active = new ActiveSheet(new SheetVersion(1, "digest-1"), sheet);
        return new AbstractModule() {
            @Override
            protected void configure() {
                OptionalBinder.newOptionalBinder(binder(), SheetSource.class)
                        .setBinding()
                        .toInstance(() -> active);
                OptionalBinder.newOptionalBinder(binder(), EndpointSource.class)
                        .setBinding()
                        .toInstance(pool -> endpoints.stream()
                                .filter(endpoint -> endpoint.pool().equals(pool))
                                .toList());
            }
        };
    }

    private static RoutingRule rule(String name) {
        return new RoutingRule(RoutingRule.ANY_TEAM, name, name, 5);
    }

    private static Service service(String name, ServiceKind kind) {
        return new Service(name, kind, name, kind == ServiceKind.MODEL ? name : "", 1.25, 64, 64, 5_000, 300, 50, true);
    }

    private static Endpoint endpoint(String id, String pool, int port) {
        return new Endpoint(id, pool, "127.0.0.1", port, "a", "us-southeast", 1, EndpointState.LIVE);
    }
}
