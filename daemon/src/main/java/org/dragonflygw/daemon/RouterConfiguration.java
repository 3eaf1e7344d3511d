package org.dragonflygw.daemon;

import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.jetty.ConnectorFactory;
import io.dropwizard.jetty.GzipHandlerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.ExternalLoggingFactory;
import io.dropwizard.request.logging.ExternalRequestLogFactory;
import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;
import java.util.List;
import org.dragonflygw.wire.settings.RouterSettings;

/** Builds the Dropwizard configuration of the caller and operator HTTP servers from the settings. */
final class RouterConfiguration {
    private static final int SPARE_THREADS = 32;
    private static final int MIN_THREADS = 16;
    private static final int OPERATOR_MAX_THREADS = 16;
    private static final int OPERATOR_MIN_THREADS = 2;
    private static final long MAX_HEADER_KIBIBYTES = 16;
    private static final long IDLE_TIMEOUT_SECONDS = 60;
    private static final int ACCEPT_QUEUE = 1_024;

    private RouterConfiguration() {}

    static Configuration of(RouterSettings settings) {
        DefaultServerFactory server = new DefaultServerFactory();
        server.setApplicationConnectors(List.of(connector(settings.getHost(), settings.getCallerPort())));
        server.setAdminConnectors(List.of(connector(settings.getHost(), settings.getOperatorPort())));
        server.setMaxThreads(settings.getMaxOpenRequests() + SPARE_THREADS);
        server.setMinThreads(MIN_THREADS);
        server.setAdminMaxThreads(OPERATOR_MAX_THREADS);
        server.setAdminMinThreads(OPERATOR_MIN_THREADS);
        ExternalRequestLogFactory requestLog = new ExternalRequestLogFactory();
        requestLog.setEnabled(false);
        server.setRequestLogFactory(requestLog);
        server.setRegisterDefaultExceptionMappers(false);
        server.setEnableThreadNameFilter(false);
        GzipHandlerFactory gzip = new GzipHandlerFactory();
        gzip.setEnabled(false);
        server.setGzipFilterFactory(gzip);
        Configuration configuration = new Configuration();
        configuration.setServerFactory(server);
        configuration.setLoggingFactory(new ExternalLoggingFactory());
        return configuration;
    }

    private static ConnectorFactory connector(String host, int port) {
        HttpConnectorFactory connector = new HttpConnectorFactory();
        connector.setBindHost(host);
        connector.setPort(port);
        connector.setMaxRequestHeaderSize(DataSize.kibibytes(MAX_HEADER_KIBIBYTES));
        connector.setIdleTimeout(Duration.seconds(IDLE_TIMEOUT_SECONDS));
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        return connector;
    }
}
