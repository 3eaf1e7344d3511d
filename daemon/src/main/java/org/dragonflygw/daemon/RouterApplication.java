package org.dragonflygw.daemon;

import com.codahale.metrics.health.HealthCheck;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Key;
import com.google.inject.Module;
import com.google.inject.TypeLiteral;
import com.google.inject.name.Names;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;
import io.dropwizard.core.Application;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jersey.DropwizardResourceConfig;
import io.dropwizard.jersey.jackson.JacksonMessageBodyProvider;
import io.dropwizard.lifecycle.Managed;
import jakarta.servlet.DispatcherType;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.dragonflygw.daemon.caller.CallFilter;
import org.dragonflygw.daemon.caller.ChatResource;
import org.dragonflygw.daemon.caller.ErrorMapper;
import org.dragonflygw.daemon.caller.ModelsResource;
import org.dragonflygw.daemon.caller.ServiceResource;
import org.dragonflygw.daemon.endpoint.EndpointClient;
import org.dragonflygw.daemon.operator.OperatorResources;
import org.dragonflygw.daemon.operator.ReadinessCheck;
import org.dragonflygw.daemon.peer.PeerClients;
import org.dragonflygw.daemon.peer.PeerServer;
import org.dragonflygw.daemon.stop.PlannedStop;
import org.dragonflygw.wire.settings.RouterSettings;
import org.eclipse.jetty.server.NetworkConnector;
import org.eclipse.jetty.server.Server;
import org.glassfish.jersey.server.ServerProperties;
import org.glassfish.jersey.servlet.ServletContainer;
import org.glassfish.jersey.servlet.ServletProperties;
import org.slf4j.bridge.SLF4JBridgeHandler;

/** The router daemon: two HTTP servers, for callers and operators, and a Thrift server for other daemons. */
public final class RouterApplication extends Application<Configuration> {
    private static final int CALLER_CONNECTOR = 0;
    private static final int OPERATOR_CONNECTOR = 1;

    private final RouterSettings settings;
    private final List<Module> subsystems;
    private Server server;
    private Injector injector;

    /**
     * Creates a daemon that {@link #start} starts.
     *
     * @param settings settings of the daemon
     * @param subsystems modules that are installed in addition to the base module of the daemon
     */
    public RouterApplication(RouterSettings settings, List<Module> subsystems) {
        this.settings = settings;
        this.subsystems = List.copyOf(subsystems);
    }

    /**
     * Starts the daemon and returns when its ports are open.
     *
     * @throws DaemonException when it could not start
     */
    public void start() {
        try {
            run("server");
        } catch (Exception e) {
            throw new DaemonException(DaemonCode.START_FAILED, String.valueOf(e.getMessage()), e);
        }
    }

    /** Runs the planned stop, then closes all ports. Returns whether every open request ended before the ports closed. */
    public boolean stopGracefully() {
        try {
            return injector.getInstance(PlannedStop.class).run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            stop();
        }
    }

    /** Closes all ports immediately, without draining open requests. */
    public void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new DaemonException(DaemonCode.STOP_FAILED, String.valueOf(e.getMessage()), e);
        }
    }

    /** Returns the port for callers. */
    public int callerPort() {
        return localPort(CALLER_CONNECTOR);
    }

    /** Returns the port for operators. */
    public int operatorPort() {
        return localPort(OPERATOR_CONNECTOR);
    }

    /** Returns the port for other daemons. */
    public int peerPort() {
        return injector.getInstance(PeerServer.class).port();
    }

    /** Returns the injector of the running daemon; null before the start. */
    public Injector injector() {
        return injector;
    }

    @Override
    public String getName() {
        return "dragonflygw-router";
    }

    @Override
    public void initialize(Bootstrap<Configuration> bootstrap) {
        bootstrap.setConfigurationFactoryFactory((type, validator, mapper, prefix) -> new SettingsFactory());
    }

    @Override
    public void run(Configuration configuration, Environment environment) {
        environment.lifecycle().addServerLifecycleListener(started -> {
            server = started;
            started.setStopAtShutdown(false);
        });
        List<Module> modules = new ArrayList<>();
        modules.add(new RouterModule(settings, environment));
        modules.addAll(subsystems);
        injector = Guice.createInjector(modules);
        registerCallers(environment);
        registerOperators(environment);
        registerHealthChecks(environment);
        manage(environment);
    }

    @Override
    protected void bootstrapLogging() {
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
    }

    @Override
    protected void onFatalError(Throwable t) {
        throw new DaemonException(DaemonCode.START_FAILED, String.valueOf(t.getMessage()), t);
    }

    private void registerCallers(Environment environment) {
        environment
                .servlets()
                .addFilter("calls", injector.getInstance(CallFilter.class))
                .addMappingForUrlPatterns(EnumSet.of(DispatcherType.REQUEST), false, "/*");
        environment.jersey().property(ServerProperties.OUTBOUND_CONTENT_LENGTH_BUFFER, 0);
        environment.jersey().property(ServerProperties.RESPONSE_SET_STATUS_OVER_SEND_ERROR, true);
        environment.jersey().register(injector.getInstance(ErrorMapper.class));
        environment.jersey().register(injector.getInstance(ChatResource.class));
        environment.jersey().register(injector.getInstance(ModelsResource.class));
        environment.jersey().register(injector.getInstance(ServiceResource.class));
    }

    private void registerOperators(Environment environment) {
        DropwizardResourceConfig resources = new DropwizardResourceConfig(environment.metrics());
        resources.property(ServletProperties.FILTER_FORWARD_ON_404, true);
        resources.register(new JacksonMessageBodyProvider(environment.getObjectMapper()));
        injector.getInstance(Key.get(new TypeLiteral<Set<Object>>() {}, Names.named(OperatorResources.NAME)))
                .forEach(resources::register);
        environment
                .admin()
                .addFilter("operators", new ServletContainer(resources))
                .addMappingForUrlPatterns(EnumSet.of(DispatcherType.REQUEST), false, "/*");
    }

    private void registerHealthChecks(Environment environment) {
        for (ReadinessCheck check : injector.getInstance(Key.get(new TypeLiteral<Set<ReadinessCheck>>() {}))) {
            environment.healthChecks().register(check.name(), new HealthCheck() {
                @Override
                protected Result check() {
                    return check.problem().map(Result::unhealthy).orElse(Result.healthy());
                }
            });
        }
    }

    private void manage(Environment environment) {
        EndpointClient endpoints = injector.getInstance(EndpointClient.class);
        environment.lifecycle().manage(new Managed() {
            @Override
            public void stop() {
                endpoints.close();
            }
        });
        environment.lifecycle().manage(injector.getInstance(PeerClients.class));
        injector.getInstance(Key.get(new TypeLiteral<Set<Managed>>() {})).forEach(environment.lifecycle()::manage);
    }

    private int localPort(int connector) {
        return ((NetworkConnector) server.getConnectors()[connector]).getLocalPort();
    }

    /** Builds the Dropwizard configuration from the settings instead of a file. */
    private final class SettingsFactory implements ConfigurationFactory<Configuration> {
        @Override
        public Configuration build(ConfigurationSourceProvider provider, String path) {
            return build();
        }

        @Override
        public Configuration build() {
            return RouterConfiguration.of(settings);
        }
    }
}
