package org.dragonflygw.edge.store;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.HostIdentity;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.core.storenews.EndpointChangeLog;
import org.dragonflygw.core.storenews.ReaderSelection;
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.core.storenews.StoreNewsApplier;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.CatalogDecoder;
import org.dragonflygw.platform.adapter.EndpointDecoder;
import org.dragonflygw.platform.adapter.StoreCalls;

/** What this host knows of the store: read by itself, or heard from a host that reads for others. */
public final class StoreView {
    private final SettingsHolder settings;
    private final ConfigurationFeed configurationFeed;
    private final EndpointChangeLog changes = new EndpointChangeLog();
    private final TableFollower configuration;
    private final TableFollower endpoints;
    private final HostDirectory hosts;
    private final StoreNewsApplier taker;

    /**
     * Makes a view; {@link #start} begins to read.
     *
     * @param afterRead called after each read of this host
     */
    public StoreView(
            EventLoopGroup group,
            SettingsHolder settings,
            CatalogHolder catalogs,
            EndpointRegistry registry,
            StoreContact contact,
            PeerTable peers,
            EdgeMetrics metrics,
            EventLog log,
            Runnable afterRead) {
        this.settings = settings;
        ObjectMapper mapper = new ObjectMapper();
        ReaderSelection duty = new ReaderSelection(settings.current().identity().hostName(), peers);
        StoreFeeds feeds = new StoreFeeds(group, settings, new StoreCalls(mapper), metrics, log, duty);
        configurationFeed = new ConfigurationFeed(new CatalogDecoder(mapper), catalogs, contact, log);
        configuration = feeds.configuration(configurationFeed, afterRead);
        endpoints = feeds.endpoints(new EndpointFeed(new EndpointDecoder(mapper), registry, changes), afterRead);
        hosts = feeds.hosts(peers);
        taker = new StoreNewsApplier(registry, changes, contact, System::nanoTime);
    }

    /** Begins to read, and makes this host known to the others. */
    public void start() {
        HostIdentity identity = settings.current().identity();
        configuration.start();
        endpoints.start();
        hosts.start(identity.hostName(), identity.internal());
    }

    /** What this host can tell the others. */
    public StoreNews news() {
        changes.expire(System.nanoTime());
        return new StoreNews(
                configuration.reachable() && endpoints.reachable(),
                endpoints.version(),
                endpoints.ageMs(),
                changes.completeFrom(),
                changes.changes(),
                configurationFeed.news());
    }

    /** Takes what another host tells. */
    public void take(StoreNews news) {
        taker.apply(news, endpoints, configuration, configurationFeed);
    }
}
