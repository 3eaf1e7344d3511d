package org.dragonflygw.core.resume;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.peers.HostRanking;

/**
 * Hosts on virtual time that keep the software versions of the service "s" in a simulated store, which can answer slowly,
 * lose writes, and make writes seconds after it failed to answer them.
 */
final class VersionFleet {
    static final String SERVICE = "s";

    private static final int STEP_MS = 50;

    /** Time for which a call waits for its answer, in milliseconds. */
    private static final int TIMEOUT_MS = 1_000;

    final ManualMonotonicClock clock = new ManualMonotonicClock();
    final Store store = new Store();
    final List<Host> hosts = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
    private final Map<String, DiscoveredEndpoint> list = new LinkedHashMap<>();
    private String routes = "r1";
    private long nowMs;

    private record Event(long atMs, Runnable task) {}

    VersionFleet(int hostCount) {
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host(i));
        }
    }

    private void after(long ms, Runnable task) {
        events.add(new Event(nowMs + ms, task));
    }

    /** Runs for some time; all hosts check what is due and read the list, unless they are cut off. */
    VersionFleet run(long ms) {
        long endMs = nowMs + ms;
        while (nowMs < endMs) {
            nowMs += STEP_MS;
            clock.advanceMs(STEP_MS);
            while (!events.isEmpty() && events.peek().atMs <= nowMs) {
                events.poll().task.run();
            }
            hosts.forEach(Host::step);
        }
        return this;
    }

    /** Adds the entry of an endpoint to the list. */
    VersionFleet enter(String id, String version) {
        list.put(id, endpoint(id, version));
        return this;
    }

    /** Removes the entry of an endpoint, which may go on serving. */
    VersionFleet leave(String id) {
        list.remove(id);
        return this;
    }

    /** Ends the processes of hosts at once and starts new ones. */
    VersionFleet restart(int firstHost, int endHost) {
        for (int i = firstHost; i < endHost; i++) {
            hosts.get(i).alive = false;
            hosts.set(i, new Host(i));
        }
        return this;
    }

    /** Brings a configuration into force in which routes go to other services. */
    VersionFleet moveRoutes(String digest) {
        routes = digest;
        return this;
    }

    VersionFleet restartAll() {
        return restart(0, hosts.size());
    }

    Host host(int number) {
        return hosts.get(number);
    }

    /** Returns the version at which a host lets a stream go on of which nobody has a record, with the replies of all. */
    Optional<String> resumedAt(int number) {
        Host asker = host(number);
        List<Optional<String>> found = new ArrayList<>();
        asker.origins.find("attempt", SERVICE, d -> found.add(d.origin().map(StreamOrigin::version)));
        return found.get(0);
    }

    static DiscoveredEndpoint endpoint(String id, String version) {
        return new DiscoveredEndpoint(id, SERVICE, "10.0.0.1", 80, "a", 4, false, 0, 1, version);
    }

    /** One process. */
    final class Host implements OriginTransport {
        final SoftwareVersions versions;
        final StreamOrigins origins;
        final VersionKeeper keeper;
        private final int number;
        private final Map<String, DiscoveredEndpoint> known = new HashMap<>();
        private boolean alive = true;
        private boolean listRead;
        private long listReadMs;

        /** Whether this host cannot reach the store. */
        boolean cutOff;

        /** Whether this host's writes are lost, though it can read. */
        boolean writesLost;

        /** Whether this host writes for the others. */
        boolean writer;

        Host(int number) {
            this.number = number;
            this.writer = number == 0;
            versions = new SoftwareVersions(() -> listRead ? nowMs - listReadMs : -1, clock);
            origins = new StreamOrigins(
                    "h" + number, new HostRanking("h" + number, this::peers, clock), h -> true, versions, this, clock);
            keeper = new VersionKeeper(versions, () -> writer, new Access(this), clock, new SplittableRandom(number));
        }

        private Set<String> peers() {
            Set<String> names = new HashSet<>();
            for (int i = 0; i < hosts.size(); i++) {
                if (i != number) {
                    names.add("h" + i);
                }
            }
            return names;
        }

        /** Returns whether this host begins a stream at a version now. */
        boolean begins(String version) {
            Set<String> unnamed = versions.unnamedEndpoints(SERVICE);
            List<DiscoveredEndpoint> preferred = known.values().stream()
                    .filter(e -> !unnamed.contains(e.id()))
                    .toList();
            return (preferred.isEmpty() ? known.values() : preferred)
                    .stream().anyMatch(e -> e.version().equals(version));
        }

        private void step() {
            if (!cutOff && !store.silent) {
                readList();
            }
            keeper.check();
        }

        private void readList() {
            versions.onRoutes(routes);
            listRead = true;
            listReadMs = nowMs;
            for (DiscoveredEndpoint e : List.copyOf(known.values())) {
                if (!list.containsKey(e.id())) {
                    known.remove(e.id());
                    versions.onRemoved(e);
                }
            }
            for (DiscoveredEndpoint e : list.values()) {
                known.put(e.id(), e);
                versions.onUpdated(e);
            }
        }

        @Override
        public void tell(List<String> to, String attempt, StreamOrigin origin) {}

        @Override
        public void ask(String host, String attempt, String service, Consumer<Optional<OriginReply>> listener) {
            Host asked = hosts.get(Integer.parseInt(host.substring(1)));
            listener.accept(Optional.of(asked.origins.reply(attempt, service)));
        }
    }

    /** Rows of the store. */
    static final class Store {
        final Map<String, Set<String>> rows = new HashMap<>();
        long era = 1;

        /** Whether no call is answered. */
        boolean silent;

        /** Time until a call is performed, in milliseconds. */
        long delayMs = 4;

        /** Time until the next write is made, which is not answered; 0 if it is answered. */
        long lateMs;

        int reads;
        int writes;

        /** Goes back to a copy of its rows. */
        void restore(Map<String, Set<String>> copy) {
            rows.clear();
            rows.putAll(copy);
            era++;
        }

        Map<String, Set<String>> copy() {
            return new HashMap<>(rows);
        }
    }

    /** Calls of one host, one at a time, as its connection carries no more. */
    private final class Access implements VersionStore {
        private final Host host;
        private boolean calling;

        Access(Host host) {
            this.host = host;
        }

        @Override
        public void read(Consumer<Optional<StoredVersions>> listener) {
            store.reads++;
            call(
                    () -> listener.accept(Optional.of(new StoredVersions(store.era, store.copy()))),
                    () -> listener.accept(Optional.empty()));
        }

        @Override
        public void write(String key, Set<String> versions, Consumer<Boolean> listener) {
            store.writes++;
            Runnable perform = () -> store.rows.put(key, new TreeSet<>(versions));
            if (store.lateMs > 0) {
                after(store.lateMs, perform);
                store.lateMs = 0;
                call(null, () -> listener.accept(false));
                return;
            }
            Runnable answered = () -> {
                perform.run();
                listener.accept(true);
            };
            call(host.writesLost ? null : answered, () -> listener.accept(false));
        }

        private void call(Runnable performed, Runnable failed) {
            if (calling) {
                throw new IllegalStateException("two calls at once");
            }
            calling = true;
            boolean answered = performed != null && !host.cutOff && !store.silent && store.delayMs < TIMEOUT_MS;
            after(answered ? store.delayMs : TIMEOUT_MS, () -> {
                calling = false;
                if (host.alive) {
                    (answered ? performed : failed).run();
                }
            });
        }
    }
}
