package org.dragonflygw.daemon.endpoint;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.fleet.EndpointState;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.core.storage.HostDirectory;
import org.dragonflygw.core.storage.HostListing;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.wire.settings.RouterSettings;

/** Polls the platform's host list. An older listing never replaces a newer one. Safe from every thread. */
@Singleton
public final class HostListEndpointSource implements EndpointSource, Managed {
    private static final Logger LOG = LogManager.getLogger(HostListEndpointSource.class);
    private static final int CAPACITY = 1;

    private final HostDirectory directory;
    private final long pollMillis;
    private final ScheduledExecutorService poller = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "host-list");
        thread.setDaemon(true);
        return thread;
    });
    private volatile Map<String, List<Endpoint>> pools = Map.of();
    private long generation = Long.MIN_VALUE;
    private ScheduledFuture<?> polling;

    @Inject
    public HostListEndpointSource(HostDirectory directory, RouterSettings settings) {
        this.directory = directory;
        this.pollMillis = settings.getHostListPollMillis();
    }

    @Override
    public List<Endpoint> endpoints(String pool) {
        return pools.getOrDefault(pool, List.of());
    }

    @Override
    public void start() {
        poll();
        polling = poller.scheduleWithFixedDelay(this::poll, pollMillis, pollMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        polling.cancel(false);
        poller.shutdownNow();
    }

    private synchronized void poll() {
        try {
            HostListing listing = directory.list();
            if (listing.generation() >= generation) {
                generation = listing.generation();
                pools = byPool(listing);
            }
        } catch (StorageException e) {
            LOG.warn("host list not read: {}", e.getMessage());
        } catch (RuntimeException e) {
            LOG.error("host list not read", e);
        }
    }

    private static Map<String, List<Endpoint>> byPool(HostListing listing) {
        Map<String, List<Endpoint>> lists = new HashMap<>();
        for (HostEntry host : listing.hosts()) {
            if (host.role() != HostRole.ROUTER) {
                lists.computeIfAbsent(host.pool(), pool -> new ArrayList<>()).add(endpoint(host));
            }
        }
        lists.replaceAll((pool, list) -> List.copyOf(list));
        return Map.copyOf(lists);
    }

    private static Endpoint endpoint(HostEntry host) {
        EndpointState state = host.state() == HostState.LIVE ? EndpointState.LIVE : EndpointState.LEAVING;
        return new Endpoint(
                host.id(),
                host.pool(),
                host.address(),
                host.port(),
                host.availabilityZone(),
                host.region(),
                CAPACITY,
                state);
    }
}
