package org.dragonflygw.core.resume;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.peers.HostRanking;
import org.dragonflygw.core.resume.OriginDecision.Source;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * Knows at which software version streams began. A host that is about to send the first event of a stream tells a few hosts
 * that are chosen by the id of the caller's attempt, so that a host to which the caller comes back can ask them, also when
 * the first host has ended meanwhile. Not thread-safe.
 */
public final class StreamOrigins {
    /** Number of hosts that are told where a stream begins. */
    private static final int TOLD = 4;

    /** Number of ranks among which those that are not known to be silent are told. */
    private static final int TOLD_RANKS = 8;

    /** Number of hosts that are asked; more than are told, as those were chosen when other hosts were heard. */
    private static final int ASKED = 6;

    private final String self;
    private final HostRanking ranking;
    private final Predicate<String> mayBeUp;
    private final SoftwareVersions versions;
    private final OriginTransport transport;
    private final MonotonicClock clock;
    private final OriginRecords records = new OriginRecords();
    private long unknown;

    /**
     * Creates an empty directory.
     *
     * @param self name of this host
     * @param mayBeUp whether a peer is not known to be silent
     */
    public StreamOrigins(
            String self,
            HostRanking ranking,
            Predicate<String> mayBeUp,
            SoftwareVersions versions,
            OriginTransport transport,
            MonotonicClock clock) {
        this.self = self;
        this.ranking = ranking;
        this.mayBeUp = mayBeUp;
        this.versions = versions;
        this.transport = transport;
        this.clock = clock;
    }

    /** Records that the first event of an attempt is about to be sent to the caller. */
    public void onBegun(String attempt, StreamOrigin origin) {
        records.put(attempt, origin, clock.nanos());
        List<String> holders = ranking.first(RoutingHash.of(attempt), TOLD_RANKS).stream()
                .filter(h -> !h.equals(self) && mayBeUp.test(h))
                .limit(TOLD)
                .toList();
        transport.tell(holders, attempt, origin);
    }

    /** Records what another host told. */
    public void onTold(String attempt, StreamOrigin origin) {
        records.put(attempt, origin, clock.nanos());
    }

    /** Replies to the question of another host. */
    public OriginReply reply(String attempt, String service) {
        return new OriginReply(records.get(attempt), versions.only(service), versions.several(service));
    }

    /**
     * Finds out where a stream began.
     *
     * @param attempt id of the attempt that brought its first event; empty if the caller does not name it
     * @param service service that is asked for now
     * @param listener receives the decision, before this method returns or a moment later
     */
    public void find(String attempt, String service, Consumer<OriginDecision> listener) {
        Optional<StreamOrigin> own = attempt.isEmpty() ? Optional.empty() : records.get(attempt);
        if (own.isPresent()) {
            listener.accept(new OriginDecision(own, Source.OWN_RECORD, "", 0));
            return;
        }
        List<String> holders = attempt.isEmpty()
                ? List.of()
                : ranking.first(RoutingHash.of(attempt), ASKED + 1).stream()
                        .filter(h -> !h.equals(self))
                        .limit(ASKED)
                        .toList();
        new Search(attempt, service, holders.size(), listener).ask(holders);
    }

    /** Returns the endpoints of a service at which no stream should begin if another endpoint can take it. */
    public Set<String> unnamedEndpoints(String service) {
        return versions.unnamedEndpoints(service);
    }

    /** Returns the number of records. */
    public long size() {
        return records.size();
    }

    /** Returns the number of streams of which nobody knew where they began. */
    public long unknownCount() {
        return unknown;
    }

    /** Question to several hosts at the same time. */
    private final class Search {
        private final String attempt;
        private final String service;
        private final Consumer<OriginDecision> listener;
        private final int asked;
        private int waiting;
        private final Set<String> onlyVersions = new TreeSet<>();
        private String onlyVersionPeer = "";
        private boolean severalVersions;
        private boolean ended;

        Search(String attempt, String service, int asked, Consumer<OriginDecision> listener) {
            this.attempt = attempt;
            this.service = service;
            this.asked = asked;
            this.waiting = asked;
            this.listener = listener;
        }

        void ask(List<String> hosts) {
            if (hosts.isEmpty()) {
                endWithoutRecord();
            }
            for (String host : hosts) {
                transport.ask(host, attempt, service, reply -> onReply(host, reply));
            }
        }

        private void onReply(String host, Optional<OriginReply> reply) {
            waiting--;
            Optional<StreamOrigin> origin = reply.flatMap(OriginReply::origin);
            if (origin.isPresent()) {
                end(new OriginDecision(origin, Source.PEER, host, asked));
                return;
            }
            Optional<String> only = reply.flatMap(OriginReply::onlyVersion);
            if (only.isPresent()) {
                onlyVersions.add(only.get());
                onlyVersionPeer = host;
            }
            severalVersions |= reply.map(OriginReply::severalVersions).orElse(false);
            if (waiting == 0) {
                endWithoutRecord();
            }
        }

        /** A version is the only one if no host knows of another: one host may have missed what another has seen. */
        private void endWithoutRecord() {
            Optional<String> own = versions.only(service);
            own.ifPresent(onlyVersions::add);
            severalVersions |= onlyVersions.size() > 1 || versions.several(service);
            Optional<StreamOrigin> origin = severalVersions
                    ? Optional.empty()
                    : onlyVersions.stream().findFirst().map(v -> new StreamOrigin(service, v));
            Source source = origin.isPresent() ? Source.ONLY_VERSION : Source.NONE;
            end(new OriginDecision(origin, source, own.isPresent() ? "" : onlyVersionPeer, asked));
        }

        private void end(OriginDecision decision) {
            if (ended) {
                return;
            }
            ended = true;
            if (decision.origin().isEmpty()) {
                unknown++;
            }
            if (decision.source() == Source.PEER) {
                records.put(attempt, decision.origin().orElseThrow(), clock.nanos());
            }
            listener.accept(decision);
        }
    }
}
