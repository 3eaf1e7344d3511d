package org.dragonflygw.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.peers.HostRanking;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which hosts are asked for permits, and what their replies change. */
final class SharedPermitsTest {
    private static final DiscoveredEndpoint ENDPOINT =
            new DiscoveredEndpoint("e", "s", "10.0.0.1", 80, "a", 4, false, 0, 1, "v1");
    private static final String SELF = "self";

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final EndpointRates rates = new EndpointRates();
    private final EndpointRate rate = rates.of("e", 1);
    private final Set<String> hosts = new HashSet<>(Set.of("h1", "h2", "h3", "h4", "h5"));
    private final Set<String> silent = new HashSet<>();
    private final List<String> asked = new ArrayList<>();
    private final List<Consumer<Optional<PermitReply>>> waiting = new ArrayList<>();
    private final List<PermitDecision> decisions = new ArrayList<>();
    private boolean listed = true;
    private final PermitOwners owners =
            new PermitOwners(SELF, new HostRanking(SELF, () -> hosts, clock), () -> listed, h -> !silent.contains(h));
    private final PermitIssuer issuer = new PermitIssuer(SELF, rates, owners, clock);
    private final SharedPermits permits =
            new SharedPermits(SELF, rates, owners, issuer, this::ask, new SplittableRandom(1), clock);

    private void ask(String host, PermitRequest request, Consumer<Optional<PermitReply>> listener) {
        asked.add(host);
        waiting.add(listener);
    }

    private void acquire() {
        permits.acquire(ENDPOINT, decisions::add);
    }

    private void name(double limit) {
        rate.accept(new RateStatement(RateNotice.limited(limit), clock.nanos(), clock.nanos()), clock.nanos());
    }

    private void reply(boolean granted, long waitMs) {
        RateReport known = RateReport.of(rate, clock.nanos());
        waiting.remove(0).accept(Optional.of(new PermitReply(granted, waitMs, known)));
    }

    /** Keeps this host from being an owner, by hosts that come before it. */
    private void ownNothing() {
        for (int i = 10; owners.of(rate).contains(SELF); i++) {
            hosts.add("h" + i);
            clock.advanceMs(1_000);
        }
    }

    private PermitDecision decision() {
        return decisions.get(decisions.size() - 1);
    }

    @Nested
    final class Asked {
        @Test
        void isNobodyWithoutALimit() {
            acquire();
            assertThat(decision().granted()).isTrue();
            assertThat(asked).isEmpty();
        }

        @Test
        void isAnotherOwnerAfterADenial() {
            name(3);
            ownNothing();
            acquire();
            reply(false, 300);
            reply(true, 0);
            assertThat(decision().granted()).isTrue();
            assertThat(new HashSet<>(asked)).hasSize(2);
            assertThat(owners.of(rate)).containsAtLeastElementsIn(asked);
        }

        /** Guards against a request that waits for one silent owner after the other. */
        @Test
        void areTwoAtMost() {
            name(3);
            ownNothing();
            acquire();
            waiting.remove(0).accept(Optional.empty());
            waiting.remove(0).accept(Optional.empty());
            assertThat(decision().granted()).isFalse();
            assertThat(permits.unansweredCount()).isEqualTo(2);
        }

        /** Guards against owners that are asked again by each request while nothing is left. */
        @Test
        void isNobodyBeforeAnOwnerHasThePermitItSpokeOf() {
            name(3);
            ownNothing();
            owners.of(rate).stream().skip(1).forEach(silent::add);
            acquire();
            reply(false, 300);
            assertThat(decision().granted()).isFalse();
            assertThat(rate.permitWaitNanos(clock.nanos())).isEqualTo(300_000_000L);
            acquire();
            assertThat(asked).hasSize(1);
            clock.advanceMs(300);
            assertThat(rate.permitWaitNanos(clock.nanos())).isEqualTo(0);
            acquire();
            assertThat(asked).hasSize(2);
        }

        /** Guards against requests that wait for the same silent owners at one endpoint after the other. */
        @Test
        void isNoOwnerThatLeftTwoQuestionsUnanswered() {
            name(3);
            ownNothing();
            List<String> all = owners.of(rate);
            silent.addAll(all.subList(1, all.size()));
            acquire();
            waiting.remove(0).accept(Optional.empty());
            clock.advanceMs(600);
            acquire();
            waiting.remove(0).accept(Optional.empty());
            clock.advanceMs(300);
            rate.ownerHasNoneUntil(all.get(0), clock.nanos());
            acquire();
            assertThat(asked).hasSize(2);
            clock.advanceMs(300);
            acquire();
            assertThat(asked).hasSize(3);
        }

        @Test
        void isNobodyBeforeTheListOfHostsWasRead() {
            name(3);
            listed = false;
            acquire();
            assertThat(decision().granted()).isFalse();
            assertThat(asked).isEmpty();
        }
    }

    @Nested
    final class Replies {
        @Test
        void endALimitThatTheOwnerKnowsHasEnded() {
            name(3);
            ownNothing();
            clock.advanceMs(1_000);
            acquire();
            waiting.remove(0)
                    .accept(Optional.of(
                            new PermitReply(true, 0, new RateReport("e", 1, RateNotice.UNLIMITED, 20, 10))));
            assertThat(decision().granted()).isTrue();
            assertThat(rate.isLimited()).isFalse();
        }

        /** Guards against a permit that is used late because the process stood still after the question. */
        @Test
        void thatAreReadLateAreNoPermits() {
            name(3);
            ownNothing();
            acquire();
            clock.advanceMs(1_000);
            reply(true, 0);
            reply(true, 0);
            assertThat(permits.unansweredCount()).isEqualTo(1);
            assertThat(decision().granted()).isTrue();
        }

        @Test
        void ofAHostThatIsNoOwnerDeny() {
            name(3);
            ownNothing();
            RateReport known = RateReport.of(rate, clock.nanos());
            assertThat(issuer.issue(new PermitRequest(known)).granted()).isFalse();
        }

        /** Guards against an owner that knows nothing of a limit which the asking host has heard. */
        @Test
        void takeTheLimitFromTheQuestion() {
            hosts.clear();
            RateReport told = new RateReport("new", 1, RateNotice.limited(1), 20, 10);
            assertThat(issuer.issue(new PermitRequest(told)).granted()).isFalse();
            clock.advanceMs(1_000);
            assertThat(issuer.issue(new PermitRequest(told)).granted()).isTrue();
            assertThat(issuer.issue(new PermitRequest(told)).granted()).isFalse();
            assertThat(rates.of("new", 1).isLimited()).isTrue();
        }
    }

    @Nested
    final class OfColdEndpoints {
        private void makeCold() {
            long until = clock.nanos() + 20_000_000_000L;
            rate.extendCold(new ColdPeriod(until, 3, ColdSource.ENTRY), clock.nanos());
        }

        private int takeAll() {
            int taken = 0;
            while (issuer.issue(new PermitRequest(RateReport.of(rate, clock.nanos())))
                    .granted()) {
                taken++;
            }
            return taken;
        }

        /** Guards against an owner that gives out again what the process before it gave out. */
        @Test
        void aProcessThatHasJustStartedHasNone() {
            hosts.clear();
            makeCold();
            assertThat(takeAll()).isEqualTo(0);
        }

        /** Guards against requests that are refused although nobody has sent anything to a cold endpoint yet. */
        @Test
        void aRunningProcessHasOneAtOnce() {
            hosts.clear();
            clock.advanceMs(5_000);
            makeCold();
            assertThat(takeAll()).isEqualTo(1);
        }

        @Test
        void unusedOnesAreKeptUpToTheBurst() {
            hosts.clear();
            makeCold();
            takeAll();
            clock.advanceMs(10_000);
            assertThat(takeAll()).isEqualTo(3);
        }

        /** Guards against an owner that has not read the entry and gives out permits without a limit. */
        @Test
        void anOwnerLearnsOfThemFromTheQuestion() {
            hosts.clear();
            RateReport told = new RateReport("new", 1, RateNotice.UNREADABLE, 0, 0, 5_000, 3);
            PermitReply reply = issuer.issue(new PermitRequest(told));
            assertThat(reply.granted()).isFalse();
            assertThat(reply.rate().coldLeftMs()).isEqualTo(5_000);
        }
    }

    @Nested
    final class Shares {
        private double share() {
            return owners.share(owners.of(rate));
        }

        @Test
        void areEqualAndGrowWhileAnOwnerIsSilent() {
            assertThat(share()).isWithin(1e-9).of(1 / 3.0);
            ownNothing();
            silent.add(owners.of(rate).get(0));
            assertThat(share()).isWithin(1e-9).of(1 / 2.0);
        }

        /** Guards against owners that are cut off from each other and each give out the whole limit. */
        @Test
        void ofOwnersThatHearNobodyAreHalfAtMost() {
            ownNothing();
            silent.addAll(hosts);
            assertThat(share()).isWithin(1e-9).of(1 / 2.0);
        }

        /** Guards against sides of a cut that each take over the shares of the other. */
        @Test
        void ofAColdEndpointAreAThirdForAnOwnerThatHearsNobody() {
            ownNothing();
            silent.addAll(hosts);
            assertThat(owners.coldShare(owners.of(rate))).isWithin(1e-9).of(1 / 3.0);
            silent.removeAll(owners.of(rate).subList(0, 2));
            assertThat(owners.coldShare(owners.of(rate))).isWithin(1e-9).of(1 / 2.0);
        }

        @Test
        void ofASingleHostAreTheWhole() {
            hosts.clear();
            assertThat(share()).isWithin(1e-9).of(1);
        }
    }
}
