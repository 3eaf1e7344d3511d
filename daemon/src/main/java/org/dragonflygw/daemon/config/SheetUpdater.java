package org.dragonflygw.daemon.config;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.config.ConfigException;
import org.dragonflygw.core.config.ConfigStore;
import org.dragonflygw.core.config.OfferResult;
import org.dragonflygw.core.config.PollIntervals;
import org.dragonflygw.core.config.SheetReader;
import org.dragonflygw.core.config.SheetReadiness;
import org.dragonflygw.core.config.SheetVersion;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.daemon.membership.GossipNode;
import org.dragonflygw.daemon.peer.PeerAddress;
import org.dragonflygw.daemon.peer.PeerClients;
import org.dragonflygw.daemon.peer.PeerException;
import org.dragonflygw.daemon.schedule.BackgroundTimer;
import org.dragonflygw.wire.codec.SheetCompression;
import org.dragonflygw.wire.codec.WireException;
import org.dragonflygw.wire.gossip.SheetReply;
import org.dragonflygw.wire.gossip.SheetRequest;
import org.dragonflygw.wire.settings.RouterSettings;

/**
 * Activates the newest accepted sheet. Learns of versions by gossip and by infrequent polls of the store; fetches the
 * content by digest from peers first and then from the store. All blocking work runs on one thread. The poll interval
 * grows with the fleet, so that all daemons together make at most about {@value #FLEET_READS_PER_SECOND} reads per second.
 */
@Singleton
public final class SheetUpdater implements Managed {
    private static final Logger LOG = LogManager.getLogger(SheetUpdater.class);
    private static final int FLEET_READS_PER_SECOND = 4;
    private static final int MAX_PEERS = 3;
    private static final int FETCH_TIMEOUT_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 500;

    private final ActiveSheetHolder sheets;
    private final SheetReadiness readiness;
    private final ConfigStore store;
    private final GossipNode gossip;
    private final PeerClients clients;
    private final PollIntervals intervals;
    private final Random random;
    private final Counter peerFetches;
    private final Counter storeFetches;
    private final AtomicBoolean fetchQueued = new AtomicBoolean();
    private final BackgroundTimer worker = new BackgroundTimer("sheet-updater", 1);

    @Inject
    public SheetUpdater(
            ActiveSheetHolder sheets,
            SheetReadiness readiness,
            ConfigStore store,
            GossipNode gossip,
            PeerClients clients,
            RouterSettings settings,
            MetricRegistry metrics) {
        this.sheets = sheets;
        this.readiness = readiness;
        this.store = store;
        this.gossip = gossip;
        this.clients = clients;
        random = new Random(settings.getDaemonId().hashCode());
        intervals = new PollIntervals(settings.getStorePollMillis(), FLEET_READS_PER_SECOND, random);
        peerFetches = metrics.counter("dragonflygw.config.peer.fetches");
        storeFetches = metrics.counter("dragonflygw.config.store.fetches");
        metrics.register("dragonflygw.config.force.version", (Gauge<Long>)
                () -> sheets.current().version().number());
        metrics.register("dragonflygw.config.newest.version", (Gauge<Long>)
                () -> sheets.newestVersion().number());
    }

    @Override
    public void start() {
        gossip.addExchangeListener(this::onExchange);
        worker.scheduleRepeatedly(0, () -> intervals.nextMillis(gossip.members().size()), this::poll);
    }

    @Override
    public void stop() {
        worker.close();
    }

    /** Activates a version that this daemon has just published, and announces the version to the other daemons. */
    void activate(SheetVersion version, byte[] content) {
        sheets.offer(version, content);
        gossip.sendUrgentChanges();
    }

    private void onExchange() {
        recordPeerAnswers();
        if (sheets.pendingVersion().isPresent()) {
            queueFetch(0);
        }
    }

    private void recordPeerAnswers() {
        if (readiness.isReady()) {
            return;
        }
        for (Member member : gossip.members()) {
            if (gossip.lastExchange(member.daemonId()).at().toEpochMilli() > 0) {
                readiness.onPeerAnswer(member.daemonId());
            }
        }
    }

    private void queueFetch(long delayMillis) {
        if (fetchQueued.compareAndSet(false, true)) {
            worker.schedule(delayMillis, this::fetchPending);
        }
    }

    private void poll() {
        try {
            store.readVersion().ifPresent(row -> sheets.observeVersion(row.version()));
            readiness.onStoreAnswer();
            sheets.pendingVersion().ifPresent(this::fetch);
        } catch (ConfigException e) {
            LOG.warn("version row of the sheet not read from the store: {}", e.getMessage());
        }
    }

    private void fetchPending() {
        fetchQueued.set(false);
        sheets.pendingVersion().ifPresent(this::fetch);
        if (sheets.pendingVersion().isPresent()) {
            queueFetch(RETRY_MILLIS);
        }
    }

    private void fetch(SheetVersion version) {
        for (Member peer : peersWith(version)) {
            Optional<byte[]> content = fetchFrom(peer, version);
            if (content.isPresent() && offer(version, content.get())) {
                peerFetches.inc();
                return;
            }
        }
        try {
            if (offer(version, store.readContent(version.digest()))) {
                storeFetches.inc();
            }
        } catch (ConfigException e) {
            LOG.warn("sheet {} not fetched from the store: {}", version.number(), e.getMessage());
        }
    }

    private boolean offer(SheetVersion version, byte[] content) {
        OfferResult result = sheets.offer(version, content);
        if (result == OfferResult.WRONG_DIGEST || result == OfferResult.INVALID) {
            LOG.warn("content of sheet {} rejected: {}", version.number(), result);
            return false;
        }
        LOG.info("sheet {} is now active", version.number());
        return true;
    }

    private List<Member> peersWith(SheetVersion version) {
        List<Member> peers = new ArrayList<>(gossip.members());
        peers.removeIf(peer -> gossip.lastExchange(peer.daemonId()).sheetNumber() < version.number());
        Collections.shuffle(peers, random);
        return peers.subList(0, Math.min(MAX_PEERS, peers.size()));
    }

    private Optional<byte[]> fetchFrom(Member peer, SheetVersion version) {
        PeerAddress address = new PeerAddress(peer.address(), peer.peerPort());
        try {
            SheetReply reply = clients.fetchSheet(address, new SheetRequest(version.digest()), FETCH_TIMEOUT_MILLIS);
            if (!reply.isFound()) {
                return Optional.empty();
            }
            return Optional.of(SheetCompression.decompress(reply.getContent(), SheetReader.MAX_BYTES));
        } catch (PeerException | WireException e) {
            LOG.debug("sheet {} not fetched from {}: {}", version.number(), peer.daemonId(), e.getMessage());
            return Optional.empty();
        }
    }
}
