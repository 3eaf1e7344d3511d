package org.dragonflygw.daemon.membership;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.inject.Inject;
import com.google.inject.Provider;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.membership.GossipPayloads;
import org.dragonflygw.core.membership.GossipProtocol;
import org.dragonflygw.core.membership.GossipSettings;
import org.dragonflygw.core.membership.LastExchange;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.membership.MemberStatus;
import org.dragonflygw.core.membership.MembershipView;
import org.dragonflygw.core.storage.HostListing;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.HybridClock;
import org.dragonflygw.daemon.peer.PeerAddress;
import org.dragonflygw.daemon.peer.PeerClients;
import org.dragonflygw.daemon.peer.PeerException;
import org.dragonflygw.daemon.peer.PeerServer;
import org.dragonflygw.daemon.schedule.BackgroundTimer;
import org.dragonflygw.wire.codec.GossipCodec;
import org.dragonflygw.wire.codec.WireException;
import org.dragonflygw.wire.settings.RouterSettings;

/**
 * Runs the gossip protocol over calls between daemons: one round per interval, and urgent changes immediately. A failed
 * exchange is retried once on a new connection before the other daemon is suspected, because a pooled connection may be
 * dead. Thread-safe; all decisions are in {@link GossipProtocol}.
 */
@Singleton
public final class GossipNode implements MembershipView, Managed {
    private static final Logger LOG = LogManager.getLogger(GossipNode.class);
    private static final int THREADS = 4;
    private static final int MIN_TIMEOUT_MILLIS = 500;

    private final RouterSettings settings;
    private final GossipPayloads payloads;
    private final PeerClients clients;
    private final Provider<PeerServer> server;
    private final Clock clock;
    private final HybridClock hybridClock;
    private final EventRecorder events;
    private final Meter sentBytes;
    private final Meter receivedBytes;
    private final Meter failedExchanges;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final BackgroundTimer workers = new BackgroundTimer("gossip", THREADS);
    private volatile GossipProtocol protocol;

    @Inject
    public GossipNode(
            RouterSettings settings,
            GossipPayloads payloads,
            PeerClients clients,
            Provider<PeerServer> server,
            Clock clock,
            HybridClock hybridClock,
            EventRecorder events,
            MetricRegistry metrics) {
        this.settings = settings;
        this.payloads = payloads;
        this.clients = clients;
        this.server = server;
        this.clock = clock;
        this.hybridClock = hybridClock;
        this.events = events;
        sentBytes = metrics.meter("dragonflygw.membership.sent.bytes");
        receivedBytes = metrics.meter("dragonflygw.membership.received.bytes");
        failedExchanges = metrics.meter("dragonflygw.membership.failed.exchanges");
        metrics.register("dragonflygw.membership.known.daemons", (Gauge<Integer>)
                () -> members().size());
    }

    /** Adds a listener that runs after each exchange; the listener must not block. */
    public void addExchangeListener(Runnable listener) {
        listeners.add(listener);
    }

    @Override
    public Member self() {
        GossipProtocol running = protocol;
        return running == null ? newSelf(settings.getPeerPort()) : running.self();
    }

    @Override
    public List<Member> members() {
        GossipProtocol running = protocol;
        return running == null ? List.of(self()) : running.members();
    }

    /** Returns the last direct exchange with a daemon, or {@link LastExchange#NONE}. */
    public LastExchange lastExchange(String daemonId) {
        GossipProtocol running = protocol;
        return running == null ? LastExchange.NONE : running.lastExchange(daemonId);
    }

    /** Returns whether another process runs with this daemon's id. */
    public boolean isSuperseded() {
        GossipProtocol running = protocol;
        return running != null && running.superseded();
    }

    /** Adds the routers of the host list as members to contact; does nothing before gossip has started. */
    public void seed(HostListing listing) {
        GossipProtocol running = protocol;
        if (running != null) {
            running.seed(listing);
        }
    }

    /** Returns the gossip bytes sent per second, as the one-minute moving average. */
    public double sentBytesPerSecond() {
        return sentBytes.getOneMinuteRate();
    }

    /** Returns the gossip bytes received per second, as the one-minute moving average. */
    public double receivedBytesPerSecond() {
        return receivedBytes.getOneMinuteRate();
    }

    /**
     * Answers an exchange that another daemon started.
     *
     * @throws MembershipException when gossip has not started yet
     */
    org.dragonflygw.wire.gossip.GossipMessage answerExchange(org.dragonflygw.wire.gossip.GossipMessage message) {
        GossipProtocol running = protocol;
        if (running == null) {
            throw new MembershipException(MembershipCode.NOT_STARTED, "gossip has not started");
        }
        receivedBytes.mark(EncodedSize.of(message));
        org.dragonflygw.wire.gossip.GossipMessage answer =
                encode(running.answerExchange(GossipCodec.fromWire(message, clock.instant())));
        afterExchange(running);
        return answer;
    }

    /** Sends urgent changes now instead of in the next round. */
    public void sendUrgentChanges() {
        GossipProtocol running = protocol;
        if (running != null) {
            submitAll(running, running.takeUrgentTargets());
        }
    }

    /** Announces to the other daemons that this daemon leaves. */
    public void announceLeaving() {
        protocol.announceLeaving();
        sendUrgentChanges();
    }

    @Override
    public void start() {
        Random random = new Random(clock.millis() ^ settings.getDaemonId().hashCode());
        Duration interval = Duration.ofMillis(settings.getGossipIntervalMillis());
        protocol = new GossipProtocol(
                newSelf(server.get().port()),
                GossipSettings.of(interval, settings.getControlBytesPerSecond()),
                payloads,
                clock,
                hybridClock,
                random,
                events);
        int phase = random.nextInt(settings.getGossipIntervalMillis());
        workers.scheduleRepeatedly(phase, settings::getGossipIntervalMillis, this::runRound);
    }

    @Override
    public void stop() {
        GossipProtocol running = protocol;
        if (running != null) {
            running.announceStopped();
            running.takeUrgentTargets().forEach(target -> exchange(running, target));
        }
        workers.close();
    }

    private Member newSelf(int peerPort) {
        return new Member(
                settings.getDaemonId(),
                settings.getHost(),
                peerPort,
                settings.getOperatorPort(),
                settings.getAvailabilityZone(),
                settings.getRegion(),
                clock.millis(),
                MemberStatus.ALIVE);
    }

    private void runRound() {
        GossipProtocol running = protocol;
        submitAll(running, running.tick());
    }

    private void submitAll(GossipProtocol running, List<Member> targets) {
        targets.forEach(target -> workers.execute(() -> exchange(running, target)));
    }

    private void exchange(GossipProtocol running, Member target) {
        try {
            org.dragonflygw.wire.gossip.GossipMessage answer =
                    callWithRetry(target, encode(running.startExchange(target)));
            receivedBytes.mark(EncodedSize.of(answer));
            running.finishExchange(GossipCodec.fromWire(answer, clock.instant()));
            afterExchange(running);
        } catch (PeerException | WireException e) {
            failedExchanges.mark();
            LOG.debug("exchange with {} failed: {}", target.daemonId(), e.getMessage());
            running.failExchange(target.daemonId());
        }
    }

    private org.dragonflygw.wire.gossip.GossipMessage callWithRetry(
            Member target, org.dragonflygw.wire.gossip.GossipMessage message) {
        PeerAddress address = new PeerAddress(target.address(), target.peerPort());
        int timeout = Math.max(MIN_TIMEOUT_MILLIS, settings.getGossipIntervalMillis() / 2);
        try {
            return clients.exchange(address, message, timeout);
        } catch (PeerException e) {
            if (!e.isOutcomeUnknown()) {
                throw e;
            }
            clients.closeIdle(address);
            return clients.exchange(address, message, timeout);
        }
    }

    private org.dragonflygw.wire.gossip.GossipMessage encode(org.dragonflygw.core.membership.GossipMessage message) {
        org.dragonflygw.wire.gossip.GossipMessage encoded = GossipCodec.toWire(message, clock.instant());
        sentBytes.mark(EncodedSize.of(encoded));
        return encoded;
    }

    private void afterExchange(GossipProtocol running) {
        listeners.forEach(Runnable::run);
        submitAll(running, running.takeUrgentTargets());
    }
}
