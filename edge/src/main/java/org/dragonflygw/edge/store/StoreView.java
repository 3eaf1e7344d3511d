package org.dragonflygw.edge.store;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import org.dragonflygw.core.catalog.CatalogHolder;
import org.dragonflygw.core.contact.StoreContact;
import org.dragonflygw.core.crash.StoredSuspects;
import org.dragonflygw.core.discovery.EndpointRegistry;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.peers.StartupConsultation;
import org.dragonflygw.core.resume.SoftwareVersions;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.HostIdentity;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.core.storenews.EndpointChangeLog;
import org.dragonflygw.core.storenews.ReaderSelection;
import org.dragonflygw.core.storenews.StoreEra;
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.core.storenews.StoreNewsApplier;
import org.dragonflygw.edge.ops.EdgeMetrics;
import org.dragonflygw.platform.adapter.CatalogDecoder;
import org.dragonflygw.platform.adapter.EndpointDecoder;
import org.dragonflygw.platform.adapter.JsonTreeReader;
import org.dragonflygw.platform.adapter.StoreApiCodec;

/**
 * This host's view of the store: configuration, endpoints and peers, read by this host or received as news from the
 * host that reads for its group.
 */
public final class StoreView {
    private final SettingsHolder settings;
    private final EndpointRegistry registry;
    private final PeerTable peers;
    private final ReaderSelection readerSelection;
    private final StartupConsultation consultation;
    private final ConfigurationFeed configurationFeed;
    private final Evacuations evacuations;
    private final EndpointChangeLog changes = new EndpointChangeLog();
    private final TableFollower configuration;
    private final TableFollower endpoints;
    private final EventLoopGroup group;
    private final SuspectRows suspectRows;
    private final VersionRows versionRows;
    private final TableFollower suspects;
    private final PeerDiscovery peerDiscovery;
    private final StoreNewsApplier newsApplier;
    private final StoreEra era;

    /**
     * Creates a view that does not read before {@link #start}.
     *
     * @param afterRead called after each read of changes by this host that was not requested by news from a peer
     */
    public StoreView(
            EventLoopGroup group,
            SettingsHolder settings,
            CatalogHolder catalogs,
            EndpointRegistry registry,
            Evacuations evacuations,
            StoreContact contact,
            PeerTable peers,
            StoredSuspects storedSuspects,
            SoftwareVersions versions,
            EdgeMetrics metrics,
            EventLog log,
            Runnable afterRead) {
        this.group = group;
        this.settings = settings;
        this.registry = registry;
        this.evacuations = evacuations;
        this.peers = peers;
        JsonTreeReader json = new JsonTreeReader();
        era = new StoreEra(log, this::onNewEra);
        readerSelection = new ReaderSelection(settings.current().identity().hostName(), peers);
        TableFollowerFactory followers =
                new TableFollowerFactory(group, settings, new StoreApiCodec(json), metrics, log, readerSelection, era);
        consultation =
                new StartupConsultation(() -> catalogs.current().isPresent(), peers::heardAllSince, System::nanoTime);
        configurationFeed =
                new ConfigurationFeed(new CatalogDecoder(json), catalogs, contact, log, consultation::isOver);
        // Evacuations first: a host that knows a configuration may serve.
        configuration = followers.configuration(
                new TableListeners(new EvacuationFeed(evacuations, log), configurationFeed), afterRead);
        endpoints = followers.endpoints(new EndpointFeed(new EndpointDecoder(json), registry, changes), afterRead);
        suspectRows = followers.suspectRows(storedSuspects);
        suspects = followers.suspects(suspectRows);
        versionRows = followers.versionRows(versions);
        peerDiscovery = followers.peerDiscovery(peers);
        newsApplier = new StoreNewsApplier(era, registry, changes, evacuations, contact, System::nanoTime);
    }

    private void onNewEra() {
        configuration.onNewEra();
        endpoints.onNewEra();
        suspects.onNewEra();
        versionRows.onNewEra();
        HostIdentity identity = settings.current().identity();
        peerDiscovery.register(identity.hostName(), identity.internal());
    }

    /** Starts to read the store and registers this host in it. */
    public void start() {
        HostIdentity identity = settings.current().identity();
        configuration.start();
        endpoints.start();
        suspects.start();
        suspectRows.start(group.next());
        versionRows.start();
        peerDiscovery.register(identity.hostName(), identity.internal());
    }

    /**
     * Returns the state of the store as this host knows it, to be reported to peers. Called in each round of reports, so
     * that what has expired is dropped in time.
     */
    public StoreNews news() {
        long now = System.nanoTime();
        registry.removeLapsed(now);
        changes.expire(now);
        evacuations.releaseHeld();
        return new StoreNews(
                era.current(),
                configuration.isReachable() && endpoints.isReachable(),
                endpoints.version(),
                endpoints.ageMs(),
                changes.completeFrom(),
                changes.changes(),
                configurationFeed.news(),
                evacuations.news());
    }

    /** Returns the age of the list of endpoints in milliseconds, or -1 if it has not been read yet. */
    public long endpointsAgeMs() {
        return endpoints.ageMs();
    }

    /** Returns whether this host knows which requests the store names as crashing endpoints. */
    public boolean suspectsRead() {
        return suspectRows.isRead();
    }

    /**
     * Returns whether this host has heard what the others know, or has waited long enough for it; from then on its reads
     * confirm keys.
     */
    public boolean othersHeard() {
        boolean over = consultation.isOver();
        configurationFeed.confirmRead();
        return over;
    }

    /** Returns the addresses of the hosts for which this host reads the store, if it is their reader. */
    public List<HostAddress> groupAddresses() {
        return peers.addressesOf(readerSelection.group());
    }

    /**
     * Applies news about the store received from a peer.
     *
     * @param arrivedAfterNanos time on the monotonic clock, in nanoseconds, at which the news had not arrived yet
     */
    public void applyNews(StoreNews news, long arrivedAfterNanos) {
        newsApplier.apply(news, arrivedAfterNanos, endpoints, configuration, configurationFeed);
        configurationFeed.confirmRead();
    }
}
