package org.dragonflygw.daemon.grant;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.config.Service;
import org.dragonflygw.core.config.ServiceKind;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.daemon.endpoint.EndpointClient;
import org.dragonflygw.daemon.endpoint.EndpointException;
import org.dragonflygw.daemon.endpoint.EndpointExchange;
import org.dragonflygw.daemon.endpoint.EndpointRequest;
import org.dragonflygw.daemon.endpoint.SendOptions;

/**
 * Polls the load reports of the engines that this daemon is steward of. An engine that does not answer does not delay the
 * polls of the others.
 */
@Singleton
public final class EnginePoller implements Managed {
    private static final Logger LOG = LogManager.getLogger(EnginePoller.class);
    private static final int THREADS = 4;
    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_REPORT_BYTES = 65_536;
    private static final int STATUS_OK = 200;

    private final StewardTable stewards;
    private final SheetSource sheets;
    private final EndpointClient client;
    private final ObjectMapper json;
    private final Set<String> polling = ConcurrentHashMap.newKeySet();
    private ScheduledExecutorService timer;
    private ExecutorService workers;

    @Inject
    public EnginePoller(StewardTable stewards, SheetSource sheets, EndpointClient client, ObjectMapper json) {
        this.stewards = stewards;
        this.sheets = sheets;
        this.client = client;
        this.json = json;
    }

    @Override
    public void start() {
        timer = Executors.newSingleThreadScheduledExecutor(EnginePoller::newThread);
        workers = Executors.newFixedThreadPool(THREADS, EnginePoller::newThread);
        Future<?> scheduled = timer.scheduleWithFixedDelay(
                this::pollAll, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        LOG.trace("scheduled {}", scheduled);
    }

    @Override
    public void stop() {
        timer.shutdownNow();
        workers.shutdownNow();
    }

    private void pollAll() {
        Set<String> enginePools = new java.util.HashSet<>();
        for (Service service : sheets.current().sheet().services()) {
            if (service.kind() == ServiceKind.MODEL) {
                enginePools.add(service.pool());
            }
        }
        for (StewardedEngine engine : stewards.all()) {
            boolean due = enginePools.contains(engine.endpoint().pool())
                    && polling.add(engine.endpoint().id());
            if (due) {
                workers.execute(() -> poll(engine));
            }
        }
    }

    private void poll(StewardedEngine stewarded) {
        Endpoint engine = stewarded.endpoint();
        try (EndpointExchange exchange = client.send(
                engine,
                EndpointRequest.withoutBody("GET", "/load", List.of()),
                RESPONSE_TIMEOUT_MILLIS,
                SendOptions.REUSE)) {
            byte[] body = exchange.readAll(engine.id(), MAX_REPORT_BYTES);
            if (exchange.status() == STATUS_OK) {
                JsonNode report = json.readTree(body);
                stewarded
                        .steward()
                        .onReport(
                                report.path("inFlight").asInt(0)
                                        + report.path("queued").asInt(0),
                                report.path("leaving").asBoolean(false));
            }
        } catch (EndpointException | IOException e) {
            LOG.debug("no load report from engine {}: {}", engine.id(), e.getMessage());
        } finally {
            polling.remove(engine.id());
        }
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "engine-poller");
        thread.setDaemon(true);
        return thread;
    }
}
