package org.dragonflygw.core.ratelimit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * Gets permits from the owners of a limit: from this host if it is one of them, else by a message to one that is not
 * known to be silent, and if that one has none, to another. Not thread-safe.
 */
public final class SharedPermits implements EndpointPermits {
    /** Other hosts that are asked for one permit at most; each takes a round trip. */
    private static final int MAX_ASKED = 2;

    /** Time for which an owner that did not reply, or that was not heard, is not asked again, in nanoseconds. */
    private static final long SILENT_WAIT_NANOS = 500_000_000L;

    /** Unanswered questions in a row after which an owner is not asked for any endpoint for {@link #SILENT_WAIT_NANOS}. */
    private static final int MIN_UNANSWERED = 2;

    /** Time after a question for which its reply counts, in nanoseconds; longer than the time for which it is awaited. */
    private static final long MAX_REPLY_NANOS = 200_000_000L;

    private static final long NANOS_PER_MS = 1_000_000;

    private final String self;
    private final EndpointRates rates;
    private final PermitOwners owners;
    private final PermitIssuer issuer;
    private final PermitTransport transport;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final Map<String, Integer> unansweredInARow = new HashMap<>();
    private final Map<String, Long> silentUntilNanos = new HashMap<>();
    private long unanswered;

    /**
     * Creates the permits of a host.
     *
     * @param self name of this host
     * @param issuer gives out the shares that this host owns
     * @param transport asks other hosts
     * @param random source of the order in which owners are asked
     */
    public SharedPermits(
            String self,
            EndpointRates rates,
            PermitOwners owners,
            PermitIssuer issuer,
            PermitTransport transport,
            RandomGenerator random,
            MonotonicClock clock) {
        this.self = self;
        this.rates = rates;
        this.owners = owners;
        this.issuer = issuer;
        this.transport = transport;
        this.random = random;
        this.clock = clock;
    }

    @Override
    public void acquire(DiscoveredEndpoint endpoint, Consumer<PermitDecision> listener) {
        EndpointRate rate = rates.of(endpoint.id(), endpoint.startedMs());
        new Acquisition(rate, owners.of(rate), listener).next();
    }

    /** Returns the number of requests for a permit that no host replied to in time. */
    public long unansweredCount() {
        return unanswered;
    }

    /** Returns whether an owner did not reply to several questions in a row, a moment ago. */
    private boolean isSilent(String owner, long nowNanos) {
        return unansweredInARow.getOrDefault(owner, 0) >= MIN_UNANSWERED && nowNanos < silentUntilNanos.get(owner);
    }

    /** Returns a reply unless it is read long after the question: this process stood still, and the permit is old. */
    private Optional<PermitReply> inTime(Optional<PermitReply> reply, long askedNanos) {
        return clock.nanos() - askedNanos <= MAX_REPLY_NANOS ? reply : Optional.empty();
    }

    /** The search for one permit. */
    private final class Acquisition {
        private final EndpointRate rate;
        private final List<String> all;
        private final Iterator<String> candidates;
        private final Consumer<PermitDecision> listener;
        private String lastAsked = "";
        private int asked;

        Acquisition(EndpointRate rate, List<String> all, Consumer<PermitDecision> listener) {
            this.rate = rate;
            this.all = all;
            this.candidates = inOrder(all).iterator();
            this.listener = listener;
        }

        private List<String> inOrder(List<String> names) {
            List<String> order = new ArrayList<>(names);
            if (order.size() > 1) {
                Collections.rotate(order, random.nextInt(order.size()));
            }
            if (order.remove(self)) {
                order.add(0, self);
            }
            return order;
        }

        void next() {
            if (!rate.isLimited()) {
                end(true);
                return;
            }
            long now = clock.nanos();
            PermitRequest request = new PermitRequest(RateReport.of(rate, now));
            while (candidates.hasNext()) {
                String owner = candidates.next();
                if (rate.ownerHasPermitFrom(owner) > now || !owners.isReachable(owner) || isSilent(owner, now)) {
                    continue;
                }
                if (owner.equals(self)) {
                    onReply(owner, Optional.of(issuer.issue(request)));
                    return;
                }
                if (asked++ < MAX_ASKED) {
                    transport.ask(owner, request, reply -> onReply(owner, inTime(reply, now)));
                    return;
                }
            }
            end(false);
        }

        private void onReply(String owner, Optional<PermitReply> reply) {
            lastAsked = owner;
            long now = clock.nanos();
            if (reply.isEmpty()) {
                unanswered++;
                unansweredInARow.merge(owner, 1, Integer::sum);
                silentUntilNanos.put(owner, now + SILENT_WAIT_NANOS);
                rate.ownerHasNoneUntil(owner, now + SILENT_WAIT_NANOS);
                next();
                return;
            }
            unansweredInARow.remove(owner);
            rates.accept(reply.get().rate(), now);
            if (reply.get().granted()) {
                end(true);
                return;
            }
            rate.ownerHasNoneUntil(owner, now + reply.get().waitMs() * NANOS_PER_MS);
            next();
        }

        private void end(boolean granted) {
            long waitNanos = granted ? 0 : shortestWaitNanos();
            if (!granted) {
                rate.noPermitUntil(clock.nanos() + waitNanos);
            }
            long waitMs = (waitNanos + NANOS_PER_MS - 1) / NANOS_PER_MS;
            listener.accept(new PermitDecision(granted, lastAsked, waitMs, rate.requestsPerSecond()));
        }

        private long shortestWaitNanos() {
            long now = clock.nanos();
            return all.stream()
                    .filter(owners::isReachable)
                    .mapToLong(o -> Math.max(0, rate.ownerHasPermitFrom(o) - now))
                    .min()
                    .orElse(SILENT_WAIT_NANOS);
        }
    }
}
