package org.dragonflygw.standins.engine;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.dragonflygw.standins.http.Exchange;
import org.dragonflygw.standins.http.HttpListener;
import org.dragonflygw.standins.time.LaggedValue;
import org.dragonflygw.standins.time.MonotonicClock;
import org.dragonflygw.standins.time.TaskTimer;

/**
 * A fake model engine for tests and demos. It implements the HTTP interface of the engines, responds with text
 * derived from the request (see {@link ResponseText}), and injects faults (see {@link EngineFaults}).
 */
public final class EngineServer implements AutoCloseable {
    private static final int NOT_FOUND = 404;
    private static final int NO_CONTENT = 204;
    private static final long REPORT_MILLIS = 20;

    private final EngineConfig config;
    private final EngineCore core;
    private final CacheEventLog cacheEvents;
    private final OrderTracker orders;
    private final FaultInjector faults = new FaultInjector();
    private final ConnectionTable connections = new ConnectionTable();
    private final TaskTimer timer;
    private final Ticker ticker;
    private final ChatHandler chats;
    private final LaggedValue<LoadReport> load;
    private final EngineAdmin admin;
    private final HttpListener listener;
    private final AtomicBoolean down = new AtomicBoolean();
    private volatile boolean leaving;
    private long reports;

    /** Starts an engine with the system clock. */
    public EngineServer(EngineConfig config) {
        this(config, InstantSource.system());
    }

    /** Starts an engine. The clock drives lags and orders; tokens follow the {@link MonotonicClock}. */
    public EngineServer(EngineConfig config, InstantSource clock) {
        this.config = config;
        cacheEvents =
                new CacheEventLog(clock, Duration.ofMillis(config.cacheEventLagMillis()), config.cacheEventGapEvery());
        core = new EngineCore(config, cacheEvents);
        orders = new OrderTracker(clock, config);
        load = new LaggedValue<>(clock, Duration.ofMillis(config.loadLagMillis()), report());
        timer = new TaskTimer(config.id());
        ticker = new Ticker(config.id(), core);
        chats = new ChatHandler(core, ticker, faults, timer, this::servesModel);
        admin = new EngineAdmin(core, cacheEvents, orders, load, chats);
        listener = new HttpListener(config.port(), config.id(), this::handle);
        ticker.start();
        timer.every(REPORT_MILLIS, () -> load.set(report()));
    }

    /** Returns the id of the engine. */
    public String id() {
        return config.id();
    }

    /** Returns the port of the engine. */
    public int port() {
        return listener.port();
    }

    /** Returns the base URL of the engine. */
    public String baseUrl() {
        return listener.baseUrl();
    }

    /** Replaces the current faults and resets the counts that select the affected requests and chunks. */
    public void setFaults(EngineFaults newFaults) {
        faults.set(newFaults);
        if (newFaults.flaps()) {
            timer.now(this::flapDown);
        }
    }

    /** Simulates a crash: drops all connections, clears all state, and accepts requests again after the given time. */
    public void crash(long restartMillis) {
        timer.now(() -> goDown(restartMillis));
    }

    /** Makes all open connections silent permanently; new connections work. */
    public void silenceOpenConnections() {
        connections.silenceAll();
    }

    /** Sets whether the load report says that the engine is leaving. The engine continues to serve requests. */
    public void setLeaving(boolean value) {
        leaving = value;
    }

    /** Returns the ids of all executed requests, in order, once for each execution; kept across crashes. */
    public List<String> executions() {
        return List.copyOf(chats.executions());
    }

    /** Returns the accepted orders, in order; kept across crashes. */
    public List<Order> orders() {
        return orders.accepted();
    }

    /** Returns the number of streams that run or wait. */
    public int inFlight() {
        return core.runningCount() + core.waitingCount();
    }

    /** Returns whether the port is closed by a crash or by flapping. */
    public boolean isDown() {
        return down.get();
    }

    @Override
    public void close() {
        timer.close();
        ticker.close();
        listener.close();
    }

    private void handle(Exchange exchange) {
        ConnectionState connection = connections.stateOf(exchange.connection());
        if (connection.silent()) {
            return;
        }
        String path = exchange.path();
        if (path.equals("/v1/chat/completions") && exchange.method().equals("POST")) {
            complete(exchange, connection);
        } else if (path.startsWith("/v1/streams/")) {
            stream(exchange, connection, path.substring("/v1/streams/".length()));
        } else if (path.startsWith("/faults")) {
            fault(exchange, path);
        } else {
            admin.handle(exchange);
        }
    }

    private void complete(Exchange exchange, ConnectionState connection) {
        EngineFaults now = faults.current();
        if (now.crashesOn(exchange.bodyText())) {
            chats.recordExecution(exchange);
            crash(now.restartMillis());
            return;
        }
        chats.complete(exchange, connection);
    }

    private void stream(Exchange exchange, ConnectionState connection, String requestId) {
        switch (exchange.method()) {
            case "GET" -> chats.resume(exchange, connection, requestId);
            case "DELETE" -> chats.cancel(exchange, requestId);
            default -> exchange.error(NOT_FOUND, "NO_SUCH_CALL");
        }
    }

    private void fault(Exchange exchange, String path) {
        switch (path) {
            case "/faults" -> setFaults(exchange.body(EngineFaults.class));
            case "/faults/crash" -> crash(exchange.queryNumber("restartMillis", EngineFaults.DEFAULT_RESTART_MILLIS));
            case "/faults/silence" -> {
                exchange.status(NO_CONTENT);
                silenceOpenConnections();
            }
            case "/faults/leave" -> setLeaving(true);
            case "/faults/stay" -> setLeaving(false);
            default -> exchange.error(NOT_FOUND, "NO_SUCH_FAULT");
        }
        exchange.status(NO_CONTENT);
    }

    private void flapDown() {
        EngineFaults now = faults.current();
        if (now.flaps()) {
            goDown(now.flapDownMillis());
            timer.after(now.flapDownMillis() + now.flapUpMillis(), this::flapDown);
        }
    }

    private void goDown(long millis) {
        if (!down.compareAndSet(false, true)) {
            return;
        }
        listener.closePort();
        core.reset();
        orders.reset();
        cacheEvents.clear();
        timer.after(millis, this::comeUp);
    }

    private void comeUp() {
        listener.openPort();
        down.set(false);
    }

    private boolean servesModel(String model) {
        if (config.models().isEmpty()) {
            return true;
        }
        return orders.loaded().stream()
                .anyMatch(loaded ->
                        loaded.model().equals(model) || loaded.adapter().equals(model));
    }

    private LoadReport report() {
        return new LoadReport(
                ++reports,
                core.runningCount(),
                core.waitingCount(),
                core.waitMillis(MonotonicClock.nanos()),
                core.tokensPerSecond(),
                leaving,
                orders.loaded());
    }
}
