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
 * Push-pull gossip between daemons, without I/O. Each exchange is also the failure-detection probe of its target. A
 * message carries, in this order and within the byte budget: the sender and the newest sheet version, urgent loads,
 * changed members, quarantined fingerprints, further members if the digests differ, and changed loads in rotation.
 *
 * <p>Thread-safe, guarded by its own monitor. The payloads (sheets, loads, quarantine) are called with the monitor
 * held, so their locks come after it in the lock order.
 */
public final class GossipProtocol implements MembershipView {
    private static final int OTHER_REGION_INTERVAL_ROUNDS = 4;
    private static final int DEAD_PROBE_INTERVAL_ROUNDS = 5;
    private static final int URGENT_TARGETS = 3;
    private static final int MAX_QUARANTINE_ENTRIES = 16;
    private static final int MIN_SENDS_PER_ROW = 2;
    private static final int URGENT_RESERVE_DIVISOR = 4;
    private static final int PAUSE_THRESHOLD_INTERVALS = 2;

    private final GossipSettings settings;
    private final GossipPayloads payloads;
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
    private long disseminatedSheetNumber;
    private boolean urgentPending;
    private String antiEntropyCursor = "";
    private volatile List<Member> view;
    private volatile Member self;

    public GossipProtocol(
            Member self,
            GossipSettings settings,
            GossipPayloads payloads,
            InstantSource clock,
            HybridClock hybridClock,
            Random random,
            EventRecorder events) {
        this.settings = settings;
        this.payloads = payloads;
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

    /** Whether another process uses this daemon's id with a later incarnation. */
    public synchronized boolean superseded() {
        return members.superseded();
    }

    /** Last direct exchange with a daemon; {@link LastExchange#NONE} if there was none. */
    public synchronized LastExchange lastExchange(String daemonId) {
        return members.table().lastExchange(daemonId);
    }

    /** Adds the routers of the platform's host list as members to contact. */
    public synchronized void seed(HostListing listing) {
        for (HostEntry host : listing.hosts()) {
            if (host.role() == HostRole.ROUTER) {
                members.addListed(host, clock.instant());
            }
        }
        publish();
    }

    /** Starts a gossip round: declares expired suspects dead and returns the daemons to exchange with now. */
    public synchronized List<Member> tick() {
        Instant now = clock.instant();
        Duration gap = Duration.between(lastTick, now);
        if (gap.compareTo(settings.interval().multipliedBy(PAUSE_THRESHOLD_INTERVALS)) > 0) {
            members.suspicions().extend(gap.minus(settings.interval()));
        }
        lastTick = now;
        round++;
        members.expireSuspects(now);
        mergeOwnLoads();
        loads.removeExpired(now);
        publish();
        if (budget.available() < GossipMessageSizes.header(members.self())) {
            return List.of();
        }
        return targets();
    }

    /** Returns daemons to exchange with at once if a change must not wait for the next round, and clears that state. */
    public synchronized List<Member> takeUrgentTargets() {
        checkUrgentChanges();
        if (!urgentPending || budget.available() < GossipMessageSizes.header(members.self())) {
            return List.of();
        }
        urgentPending = false;
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

    /** Creates the request of an exchange with a daemon. */
    public synchronized GossipMessage startExchange(Member target) {
        return compose(target, false);
    }

    /** Applies the request of an exchange and creates the answer. */
    public synchronized GossipMessage answerExchange(GossipMessage message) {
        merge(message);
        return compose(message.sender(), message.memberDigest() != members.digest());
    }

    /** Applies the answer of an exchange that this daemon started. */
    public synchronized void finishExchange(GossipMessage answer) {
        members.suspicions().recordExchange(false);
        merge(answer);
    }

    /** Records that an exchange with a daemon failed or timed out, which makes the daemon suspect. */
    public synchronized void failExchange(String daemonId) {
        members.exchangeFailed(daemonId, clock.instant());
        publish();
    }

    /** Announces that this daemon is leaving: it finishes its work and takes no new work. */
    public synchronized void announceLeaving() {
        members.markLeaving();
        publish();
    }

    /** Announces that this daemon has stopped; only final exchanges follow. */
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
        List<EndpointLoad> loadRows = new ArrayList<>();
        if (sameRegion) {
            loadRows.addAll(loads.takeUrgent(Math.min(settings.maxMessageBytes(), budget.available()) - header));
        }
        int urgentBytes = bytes(loadRows);
        int rowBudget = Math.min(settings.maxMessageBytes(), budget.available() - urgentReserve());
        int remaining = rowBudget - header - urgentBytes;
        List<Member> rows = new ArrayList<>();
        remaining -= addRowOfTarget(rows, target, remaining);
        List<Member> changed = members.queue().take(remaining, maxSends());
        changed.stream().filter(row -> !containsId(rows, row.daemonId())).forEach(rows::add);
        remaining -= changed.stream().mapToInt(GossipMessageSizes::member).sum();
        List<QuarantineEntry> quarantined = quarantined(remaining);
        remaining -= quarantined.size() * GossipMessageSizes.QUARANTINE_BYTES;
        if (digestsDiffer) {
            remaining -= addAntiEntropyRows(rows, remaining / 2);
        }
        if (sameRegion) {
            List<EndpointLoad> rotated = loads.take(remaining);
            loadRows.addAll(rotated);
            remaining -= bytes(rotated);
        }
        budget.spend(Math.max(header + urgentBytes, rowBudget - remaining));
        SheetVersion newest = payloads.sheets().newestVersion();
        return new GossipMessage(
                members.self(),
                members.digest(),
                payloads.sheets().current().version().number(),
                newest,
                rows,
                loadRows,
                quarantined,
                hybridClock.now());
    }

    private int addRowOfTarget(List<Member> rows, Member target, int remaining) {
        Member known = members.table().get(target.daemonId()).orElse(null);
        if (known == null || known.status() == MemberStatus.ALIVE || known.incarnation() == Member.LISTED) {
            return 0;
        }
        int size = GossipMessageSizes.member(known);
        if (size > remaining) {
            return 0;
        }
        rows.add(known);
        return size;
    }

    private int addAntiEntropyRows(List<Member> rows, int maxBytes) {
        int used = 0;
        String first = antiEntropyCursor;
        for (int i = 0; i < members.table().size(); i++) {
            Member row = members.table().nextAfter(antiEntropyCursor);
            int size = GossipMessageSizes.member(row);
            if (used + size > maxBytes) {
                break;
            }
            antiEntropyCursor = row.daemonId();
            boolean isDisseminated = row.status() != MemberStatus.DEAD && row.incarnation() != Member.LISTED;
            if (isDisseminated && !containsId(rows, row.daemonId())) {
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
        List<QuarantineEntry> all = payloads.quarantine().entries();
        int count = Math.min(
                Math.min(all.size(), MAX_QUARANTINE_ENTRIES),
                Math.max(0, maxBytes) / GossipMessageSizes.QUARANTINE_BYTES);
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
        payloads.sheets().observeVersion(message.newestSheet());
        message.quarantined().forEach(payloads.quarantine()::accept);
        for (EndpointLoad load : message.loads()) {
            acceptLoad(load);
        }
        publish();
    }

    private void mergeOwnLoads() {
        Instant now = clock.instant();
        for (EndpointLoad load : payloads.ownLoads().ownLoads()) {
            if (loads.accept(withReceivedAt(load, now))) {
                flagIfNewlyClosed(load);
            }
        }
    }

    private static EndpointLoad withReceivedAt(EndpointLoad load, Instant now) {
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
            payloads.loads().accept(load);
            flagIfNewlyClosed(load);
        }
    }

    private void flagIfNewlyClosed(EndpointLoad load) {
        if (!load.closed()) {
            closedEndpoints.remove(load.endpointId());
        } else if (closedEndpoints.add(load.endpointId())) {
            urgentPending = true;
        }
    }

    private void checkUrgentChanges() {
        long newest = payloads.sheets().newestVersion().number();
        if (newest > disseminatedSheetNumber) {
            disseminatedSheetNumber = newest;
            urgentPending = true;
        }
        if (members.takeUrgentChange()) {
            urgentPending = true;
        }
    }

    private List<Member> targets() {
        List<Member> targets = new ArrayList<>();
        addTarget(targets, ownRegion, id -> isLive(id) && inOwnRegion(id));
        if (targets.isEmpty() || round % OTHER_REGION_INTERVAL_ROUNDS == 0) {
            addTarget(targets, otherRegions, id -> isLive(id) && !inOwnRegion(id));
        }
        if (round % DEAD_PROBE_INTERVAL_ROUNDS == 0) {
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
        return MIN_SENDS_PER_ROW + Integer.SIZE - Integer.numberOfLeadingZeros(members.fleetSize());
    }

    private static int bytes(List<EndpointLoad> rows) {
        return rows.stream().mapToInt(GossipMessageSizes::load).sum();
    }

    /** Bytes of the budget kept free of regular rows, so that urgent changes never wait for the budget. */
    private int urgentReserve() {
        return settings.bytesPerSecond() / URGENT_RESERVE_DIVISOR;
    }

    private void publish() {
        if (members.takeChanged()) {
            self = members.self();
            view = members.notDead();
        }
    }
}
