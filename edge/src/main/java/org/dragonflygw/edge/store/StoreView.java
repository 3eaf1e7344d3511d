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
import org.dragonflygw.platform.adapter.StoreApiCodec;

/** What this host knows of the store: read by itself, or heard from a host that reads for others. */
public final class StoreView {
    private final SettingsHolder settings;
    private final ConfigurationFeed configurationFeed;
    private final EndpointChangeLog changes = new EndpointChangeLog();
    private final TableFollower configuration;
    private final TableFollower endpoints;
    private final PeerDiscovery peerDiscovery;
    private final StoreNewsApplier newsApplier;

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
        TableFollowerFactory feeds =
                new TableFollowerFactory(group, settings, new StoreApiCodec(mapper), metrics, log, duty);
        configurationFeed = new ConfigurationFeed(new CatalogDecoder(mapper), catalogs, contact, log);
        configuration = feeds.configuration(configurationFeed, afterRead);
        endpoints = feeds.endpoints(new EndpointFeed(new EndpointDecoder(mapper), registry, changes), afterRead);
        peerDiscovery = feeds.peerDiscovery(peers);
        newsApplier = new StoreNewsApplier(registry, changes, contact, System::nanoTime);
    }

    /** Begins to read, and makes this host known to the others. */
    public void start() {
        HostIdentity identity = settings.current().identity();
        configuration.start();
        endpoints.start();
        peerDiscovery.start(identity.hostName(), identity.internal());
    }

    /** What this host can tell the others. */
    public StoreNews news() {
        changes.expire(System.nanoTime());
        return new StoreNews(
                configuration.isReachable() && endpoints.isReachable(),
                endpoints.version(),
                endpoints.ageMs(),
                changes.completeFrom(),
                changes.changes(),
                configurationFeed.news());
    }

    /** Takes what another host tells. */
    public void applyNews(StoreNews news) {
        newsApplier.apply(news, endpoints, configuration, configurationFeed);
    }
}
