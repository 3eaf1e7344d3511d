package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.dragonflygw.core.config.SheetVersion;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.retry.QuarantineEntry;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.storage.HostListing;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.HybridClock;

/**
 * Push-pull gossip between daemons. Each exchange is also the probe of its target. A message carries, in this order and
 * within the byte budget: the sender and the newest sheet version, changed members, quarantined fingerprints, further
 * members when the digests differ, and changed loads in rotation. Guarded by its own monitor; it calls the sheets, loads
 * and quarantine of its feeds while it holds it, so their locks come after this one.
 */
public final class GossipProtocol implements MembershipView {
    private static final int OTHER_REGION_ROUNDS = 4;
    private static final int DEAD_PROBE_ROUNDS = 5;
    private static final int URGENT_TARGETS = 3;
    private static final int MAX_QUARANTINED = 16;
    private static final int MIN_SENDS = 2;
    private static final int URGENT_RESERVE_PARTS = 4;
    private static final int PAUSE_INTERVALS = 2;

    private final GossipSettings settings;
    private final GossipPayloads feeds;
    private final InstantSource clock;
    private final HybridClock hybridClock;
    private final MembershipState members;
    private final LoadTable loads = new LoadTable();
    private final ByteBudget budget;
    private final ProbeOrder ownRegion;
    private final ProbeOrder otherRegions;
    private final ProbeOrder urgentOrder;
    private final ProbeOrder dead;
    private final Set<String> closedEndpoints = new HashSet<>();
    private Instant lastTick;
    private long round;
    private long spreadNumber;
    private boolean urgent;
    private String sweepCursor = "";
    private volatile List<Member> view;
    private volatile Member self;

    public GossipProtocol(
            Member self,
            GossipSettings settings,
            GossipPayloads feeds,
            InstantSource clock,
            HybridClock hybridClock,
            Random random,
            EventRecorder events) {
        this.settings = settings;
        this.feeds = feeds;
        this.clock = clock;
        this.hybridClock = hybridClock;
        this.self = self;
        members = new MembershipState(self, settings.interval(), events);
        budget = new ByteBudget(settings.bytesPerSecond(), clock);
        ownRegion = new ProbeOrder(random);
        otherRegions = new ProbeOrder(random);
        urgentOrder = new ProbeOrder(random);
        dead = new ProbeOrder(random);
        lastTick = clock.instant();
        view = members.notDead();
    }

    @Override
    public Member self() {
        return self;
    }

    @Override
    public List<Member> members() {
        return view;
    }

    /** Whether another process has taken over this daemon's id with a later incarnation. */
    public synchronized boolean superseded() {
        return members.superseded();
    }

    /** Last direct exchange with a daemon. */
    public synchronized LastExchange lastExchange(String daemonId) {
        return members.table().lastExchange(daemonId);
    }

    /** Takes the routers of the platform's host list as members to be found. */
    public synchronized void seed(HostListing listing) {
        for (HostEntry host : listing.hosts()) {
            if (host.role() == HostRole.ROUTER) {
                members.addListed(host, clock.instant());
            }
        }
        publish();
    }

    /** Runs one round: lets suspicions end and picks the daemons to exchange with now. */
    public synchronized List<Member> tick() {
        Instant now = clock.instant();
        Duration gap = Duration.between(lastTick, now);
        if (gap.compareTo(settings.interval().multipliedBy(PAUSE_INTERVALS)) > 0) {
            members.suspicions().extend(gap.minus(settings.interval()));
        }
        lastTick = now;
        round++;
        members.expireSuspects(now);
        takeOwnLoads();
        loads.removeExpired(now);
        publish();
        if (budget.available() < GossipMessageSizes.header(members.self())) {
            return List.of();
        }
        return targets();
    }

    /** Picks daemons to exchange with at once when there is news that must not wait for the next round. */
    public synchronized List<Member> takeUrgentTargets() {
        noteNews();
        if (!urgent || budget.available() < GossipMessageSizes.header(members.self())) {
            return List.of();
        }
        urgent = false;
        List<Member> targets = new ArrayList<>();
        for (int i = 0; i < URGENT_TARGETS; i++) {
            boolean anyRegion = i == 0;
            addTarget(
                    targets,
                    urgentOrder,
                    id -> isLive(id) && (anyRegion || inOwnRegion(id)) && !containsId(targets, id));
        }
        return targets;
    }

    /** Makes the message that opens an exchange with a daemon. */
    public synchronized GossipMessage startExchange(Member target) {
        return compose(target, false);
    }

    /** Takes the message that opened an exchange and makes the answer. */
    public synchronized GossipMessage answerExchange(GossipMessage message) {
        merge(message);
        return compose(message.sender(), message.memberDigest() != members.digest());
    }

    /** Takes the answer of an exchange that this daemon opened. */
    public synchronized void finishExchange(GossipMessage answer) {
        members.suspicions().recordExchange(false);
        merge(answer);
    }

    /** Notes that an exchange with a daemon failed or timed out. */
    public synchronized void failExchange(String daemonId) {
        members.exchangeFailed(daemonId, clock.instant());
        publish();
    }

    /** Tells the others that this daemon leaves: it finishes its work and takes over nothing. */
    public synchronized void announceLeaving() {
        members.markLeaving();
        publish();
    }

    /** Tells the others that this daemon is gone; the exchanges after this are its last. */
    public synchronized void announceStopped() {
        members.markStopped();
        publish();
    }

    /** Bytes of gossip that may be sent now. */
    public synchronized int availableBytes() {
        return budget.available();
    }

    private GossipMessage compose(Member target, boolean digestsDiffer) {
        int header = GossipMessageSizes.header(members.self());
        boolean sameRegion = target.region().equals(self.region());
        List<EndpointLoad> rowsOfLoads = new ArrayList<>();
        if (sameRegion) {
            rowsOfLoads.addAll(loads.takeUrgent(Math.min(settings.maxMessageBytes(), budget.available()) - header));
        }
        int urgentBytes = bytes(rowsOfLoads);
        int room = Math.min(settings.maxMessageBytes(), budget.available() - urgentReserve());
        int left = room - header - urgentBytes;
        List<Member> rows = new ArrayList<>();
        left -= addRowAboutTarget(rows, target, left);
        List<Member> changed = members.queue().take(left, maxSends());
        changed.stream().filter(row -> !containsId(rows, row.daemonId())).forEach(rows::add);
        left -= changed.stream().mapToInt(GossipMessageSizes::member).sum();
        List<QuarantineEntry> quarantined = quarantined(left);
        left -= quarantined.size() * GossipMessageSizes.QUARANTINE_BYTES;
        if (digestsDiffer) {
            left -= addSweep(rows, left / 2);
        }
        if (sameRegion) {
            List<EndpointLoad> rotated = loads.take(left);
            rowsOfLoads.addAll(rotated);
            left -= bytes(rotated);
        }
        budget.spend(Math.max(header + urgentBytes, room - left));
        SheetVersion newest = feeds.sheets().newestVersion();
        return new GossipMessage(
                members.self(),
                members.digest(),
                feeds.sheets().current().version().number(),
                newest,
                rows,
                rowsOfLoads,
                quarantined,
                hybridClock.now());
    }

    private int addRowAboutTarget(List<Member> rows, Member target, int left) {
        Member known = members.table().get(target.daemonId()).orElse(null);
        if (known == null || known.status() == MemberStatus.ALIVE || known.incarnation() == Member.LISTED) {
            return 0;
        }
        int size = GossipMessageSizes.member(known);
        if (size > left) {
            return 0;
        }
        rows.add(known);
        return size;
    }

    private int addSweep(List<Member> rows, int maxBytes) {
        int used = 0;
        String first = sweepCursor;
        for (int i = 0; i < members.table().size(); i++) {
            Member row = members.table().nextAfter(sweepCursor);
            int size = GossipMessageSizes.member(row);
            if (used + size > maxBytes) {
                break;
            }
            sweepCursor = row.daemonId();
            boolean spreads = row.status() != MemberStatus.DEAD && row.incarnation() != Member.LISTED;
            if (spreads && !containsId(rows, row.daemonId())) {
                rows.add(row);
                used += size;
            }
            if (row.daemonId().equals(first)) {
                break;
            }
        }
        return used;
    }

    private List<QuarantineEntry> quarantined(int maxBytes) {
        List<QuarantineEntry> all = feeds.quarantine().entries();
        int count = Math.min(
                Math.min(all.size(), MAX_QUARANTINED), Math.max(0, maxBytes) / GossipMessageSizes.QUARANTINE_BYTES);
        return all.subList(all.size() - count, all.size());
    }

    private void merge(GossipMessage message) {
        Instant now = clock.instant();
        hybridClock.observe(message.sentAt());
        Member sender = message.sender();
        if (!sender.daemonId().equals(members.self().daemonId())) {
            members.acceptDirect(sender, now);
            members.table().recordExchange(sender.daemonId(), new LastExchange(now, message.sheetInForce()));
        }
        message.members().forEach(row -> members.acceptReported(row, now));
        feeds.sheets().observeVersion(message.newestSheet());
        message.quarantined().forEach(feeds.quarantine()::accept);
        for (EndpointLoad load : message.loads()) {
            acceptLoad(load);
        }
        publish();
    }

    private void takeOwnLoads() {
        Instant now = clock.instant();
        for (EndpointLoad load : feeds.ownLoads().ownLoads()) {
            if (loads.accept(restated(load, now))) {
                noteClosed(load);
            }
        }
    }

    private static EndpointLoad restated(EndpointLoad load, Instant now) {
        return new EndpointLoad(
                load.endpointId(),
                load.epoch(),
                load.version(),
                load.inFlight(),
                load.queued(),
                load.closed(),
                load.waitMillis(),
                now);
    }

    private void acceptLoad(EndpointLoad load) {
        if (loads.accept(load)) {
            feeds.loads().accept(load);
            noteClosed(load);
        }
    }

    private void noteClosed(EndpointLoad load) {
        if (!load.closed()) {
            closedEndpoints.remove(load.endpointId());
        } else if (closedEndpoints.add(load.endpointId())) {
            urgent = true;
        }
    }

    private void noteNews() {
        long newest = feeds.sheets().newestVersion().number();
        if (newest > spreadNumber) {
            spreadNumber = newest;
            urgent = true;
        }
        if (members.takeUrgentChange()) {
            urgent = true;
        }
    }

    private List<Member> targets() {
        List<Member> targets = new ArrayList<>();
        addTarget(targets, ownRegion, id -> isLive(id) && inOwnRegion(id));
        if (targets.isEmpty() || round % OTHER_REGION_ROUNDS == 0) {
            addTarget(targets, otherRegions, id -> isLive(id) && !inOwnRegion(id));
        }
        if (round % DEAD_PROBE_ROUNDS == 0) {
            Optional<String> id = dead.next(members.table().ids(true), this::isDead);
            id.flatMap(members.table()::get).ifPresent(targets::add);
        }
        return targets;
    }

    private void addTarget(List<Member> targets, ProbeOrder order, Predicate<String> wanted) {
        order.next(members.table().ids(false), wanted)
                .flatMap(members.table()::get)
                .ifPresent(targets::add);
    }

    private boolean isLive(String id) {
        return members.table()
                .get(id)
                .map(row -> row.status() != MemberStatus.DEAD)
                .orElse(false);
    }

    private boolean isDead(String id) {
        return members.table()
                .get(id)
                .map(row -> row.status() == MemberStatus.DEAD)
                .orElse(false);
    }

    private boolean inOwnRegion(String id) {
        return members.table()
                .get(id)
                .map(row -> row.region().equals(self.region()))
                .orElse(false);
    }

    private static boolean containsId(List<Member> rows, String daemonId) {
        return rows.stream().anyMatch(row -> row.daemonId().equals(daemonId));
    }

    private int maxSends() {
        return MIN_SENDS + Integer.SIZE - Integer.numberOfLeadingZeros(members.fleetSize());
    }

    private static int bytes(List<EndpointLoad> rows) {
        return rows.stream().mapToInt(GossipMessageSizes::load).sum();
    }

    /** Bytes that rows leave in the budget, so that urgent news never waits for it. */
    private int urgentReserve() {
        return settings.bytesPerSecond() / URGENT_RESERVE_PARTS;
    }

    private void publish() {
        if (members.takeChanged()) {
            self = members.self();
            view = members.notDead();
        }
    }
}
