package org.dragonflygw.standins.platform;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.standins.http.Exchange;
import org.dragonflygw.standins.http.HttpListener;
import org.dragonflygw.standins.time.RateLimit;
import org.dragonflygw.standins.time.TaskTimer;

/**
 * A fake of the platform for tests and demos: table service, object store, weight store and host list, with faults
 * that can be injected. Hosts are added by {@code POST /admin/hosts} or {@link #register}.
 */
public final class PlatformServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String ADMIN = "/admin/";

    private final TableService tables = new TableService();
    private final ObjectService objects = new ObjectService();
    private final HostRegistry hosts;
    private final PlatformFaultInjector faults = new PlatformFaultInjector();
    private final TaskTimer timer = new TaskTimer("platform");
    private final StoreHandler stores;
    private final HostAdmin admin;
    private final HttpListener listener;

    /** Starts the platform with the system clock. */
    public PlatformServer(PlatformConfig config) {
        this(config, InstantSource.system());
    }

    /** Starts the platform; the clock drives the rate limits and the lag of the host list. */
    public PlatformServer(PlatformConfig config, InstantSource clock) {
        hosts = new HostRegistry(clock, Duration.ofMillis(config.hostListLagMillis()));
        admin = new HostAdmin(hosts);
        StoreLimits limits = new StoreLimits(
                new RateLimit(clock, config.readsPerSecond()),
                new RateLimit(clock, config.writesPerSecond()),
                new RateLimit(clock, config.weightBytesPerSecond()),
                config.weightSizeBytes());
        stores = new StoreHandler(tables, objects, limits, faults, timer);
        listener = new HttpListener(config.port(), "platform", this::handle);
    }

    /** Returns the port of the platform. */
    public int port() {
        return listener.port();
    }

    /** Returns the base URL of the platform. */
    public String baseUrl() {
        return listener.baseUrl();
    }

    /** Replaces the current faults and resets the count of writes. */
    public void setFaults(PlatformFaults newFaults) {
        if (newFaults.staleReads()) {
            tables.freeze();
            objects.freeze();
        } else {
            tables.unfreeze();
            objects.unfreeze();
        }
        if (newFaults.hostListFrozen()) {
            hosts.freeze();
        } else {
            hosts.unfreeze();
        }
        faults.set(newFaults);
    }

    /** Closes the port and drops all connections; the stored data is kept. */
    public void closePort() {
        listener.closePort();
    }

    /** Opens the port again. */
    public void openPort() {
        listener.openPort();
    }

    /** Adds a host to the list, or replaces the host with the same id. */
    public void register(HostEntry host) {
        hosts.register(host);
    }

    /** Removes a host from the list; returns false when the id is unknown. */
    public boolean removeHost(String id) {
        return hosts.remove(id);
    }

    /** Changes the state of a host in the list; returns false when the id is unknown. */
    public boolean setHostState(String id, HostState state) {
        return hosts.setState(id, state);
    }

    /** Changes the lag of the host list. */
    public void setHostListLag(Duration lag) {
        hosts.setLag(lag);
    }

    /** Reads a row directly, regardless of faults and limits. */
    public Optional<TableRow> row(String table, String key) {
        return tables.readCurrent(table, key);
    }

    /** Reads all rows of a table directly, regardless of faults and limits. */
    public List<TableRow> rows(String table) {
        return tables.scanCurrent(table);
    }

    /** Counts the calls of the table service and the object store that took effect, and the throttled calls. */
    public StoreCounts counts() {
        return stores.counts();
    }

    @Override
    public void close() {
        timer.close();
        listener.close();
    }

    private void handle(Exchange exchange) {
        String path = exchange.path();
        if (path.startsWith(ADMIN)) {
            admin.handle(exchange);
        } else if (path.equals("/faults")) {
            setFaults(exchange.body(PlatformFaults.class));
            exchange.status(NO_CONTENT);
        } else if (path.equals("/hosts")) {
            listHosts(exchange);
        } else if (!stores.handle(exchange)) {
            exchange.error(NOT_FOUND, "NO_SUCH_CALL");
        }
    }

    private void listHosts(Exchange exchange) {
        if (faults.current().hostListOutage()) {
            exchange.error(UNAVAILABLE, "OUTAGE");
            return;
        }
        exchange.json(OK, hosts.read());
    }
}
