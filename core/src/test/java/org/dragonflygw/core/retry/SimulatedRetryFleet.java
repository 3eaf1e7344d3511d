package org.dragonflygw.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.dispatch.EndpointLoads;
import org.dragonflygw.core.lease.SuspensionDetector;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.RetryBounds;
import org.dragonflygw.core.storenews.StoreNews;

/**
 * Hosts on virtual time that receive requests of one service, most of which fail, and retry as far as their shares of
 * the budget allow. Processes are killed and start again; reports between hosts can be cut off. Records the times of
 * all requests and retries.
 */
final class SimulatedRetryFleet {
    static final RetryBounds BUDGET = new RetryBounds(0.2, 52, TimeUnit.SECONDS.toNanos(10));

    private static final String SERVICE = "s";
    private static final int STEP_MS = 10;
    private static final int ROUND_MS = 200;
    private static final double FAILURE_RATIO = 0.9;

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final SplittableRandom random;
    private final List<Host> hosts = new ArrayList<>();
    private final RetryTimes times = new RetryTimes(BUDGET);
    private final int startMs;
    private double requestsPerSecond;
    private boolean failing;
    private boolean reportsLost;
    private boolean listReadable;
    private int firstReceiver;
    private int receiverCount;
    private int nowMs;

    /** Creates a fleet whose processes have just started. */
    SimulatedRetryFleet(int hostCount, double requestsPerSecond, int startMs, SplittableRandom random) {
        this.requestsPerSecond = requestsPerSecond;
        this.startMs = startMs;
        this.random = random;
        this.receiverCount = hostCount;
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host("h" + i));
        }
        hosts.forEach(Host::start);
    }

    void setRequestsPerSecond(double rate) {
        requestsPerSecond = rate;
    }

    void setFailing(boolean value) {
        failing = value;
    }

    void setReportsLost(boolean value) {
        reportsLost = value;
    }

    /** Sets whether hosts can read the list of hosts, which they do in their first round of reports. */
    void setListReadable(boolean value) {
        listReadable = value;
    }

    /** Sets which hosts receive all requests: some that follow each other, as callers move between availability zones. */
    void setReceivers(int first, int count) {
        firstReceiver = first;
        receiverCount = count;
    }

    void killAll() {
        hosts.forEach(Host::kill);
    }

    void kill(int host) {
        hosts.get(host).kill();
    }

    /** Suspends a host: its clock stands still, and it handles the requests of that time when it wakes. */
    void suspend(int host, int ms) {
        hosts.get(host).suspend(ms);
    }

    RetryTimes times() {
        return times;
    }

    void runForMs(int ms) {
        for (int end = nowMs + ms; nowMs < end; nowMs += STEP_MS) {
            clock.advanceMs(STEP_MS);
            hosts.forEach(Host::step);
            double expected = requestsPerSecond * STEP_MS / 1_000;
            while (random.nextDouble() < expected) {
                expected -= 1;
                times.addRequest(clock.nanos());
                int receiver = (firstReceiver + random.nextInt(receiverCount)) % hosts.size();
                hosts.get(receiver).onRequest();
            }
        }
    }

    private final class Host {
        private final String name;
        private final HostAddress address;
        private PeerTable peers;
        private FleetRetryShare share;
        private int startsAtMs = -1;
        private int nextRoundMs;
        private long sequence;
        private int suspendedUntilMs;
        private long suspendedNanos;
        private int waitingRequests;

        Host(String name) {
            this.name = name;
            this.address = new HostAddress(name, 1);
        }

        void kill() {
            share = null;
            startsAtMs = nowMs + startMs;
        }

        /** Time on the host's monotonic clock, which does not count suspensions. */
        private long nanos() {
            return clock.nanos() - suspendedNanos;
        }

        void suspend(int ms) {
            if (nowMs >= suspendedUntilMs) {
                suspendedUntilMs = nowMs + ms;
                suspendedNanos += TimeUnit.MILLISECONDS.toNanos(ms);
            }
        }

        void start() {
            peers = new PeerTable(name, new EndpointLoads(), new NoOpEventLog(), this::nanos);
            SuspensionDetector suspensions = new SuspensionDetector(this::nanos, clock);
            share = new FleetRetryShare(() -> BUDGET, peers::fleetSize, suspensions, nanos());
            nextRoundMs = nowMs + ROUND_MS;
        }

        void step() {
            if (nowMs < suspendedUntilMs) {
                return;
            }
            for (; waitingRequests > 0; waitingRequests--) {
                handleRequest();
            }
            if (share == null && nowMs >= startsAtMs) {
                start();
            }
            if (share != null && nowMs >= nextRoundMs) {
                nextRoundMs += ROUND_MS;
                sendRound();
            }
        }

        private void sendRound() {
            peers.refreshPeerLoads();
            if (listReadable && peers.fleetSize().isEmpty()) {
                hosts.forEach(h -> peers.onHostListed(h.name, h.address));
                peers.onListComplete();
            }
            HostReport report = new HostReport(
                    name,
                    address,
                    nowMs,
                    ++sequence,
                    List.of(),
                    List.of(),
                    CrashReport.NONE,
                    PartReport.NONE,
                    List.of(),
                    List.of(),
                    StoreNews.NONE);
            for (Host h : hosts) {
                if (h != this && h.share != null && !reportsLost) {
                    h.peers.onReport(report);
                }
            }
        }

        void onRequest() {
            if (nowMs < suspendedUntilMs) {
                waitingRequests++;
                return;
            }
            handleRequest();
        }

        private void handleRequest() {
            if (share == null) {
                return;
            }
            share.onRequest(SERVICE, nanos());
            if (failing
                    && random.nextDouble() < FAILURE_RATIO
                    && share.tryRetry(SERVICE, nanos()).granted()) {
                times.addRetry(clock.nanos());
            }
        }
    }
}
