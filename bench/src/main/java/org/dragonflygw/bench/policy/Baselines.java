package org.dragonflygw.bench.policy;

import java.util.Random;
import org.dragonflygw.core.routing.CandidateOrder;
import org.dragonflygw.core.routing.HotPrefixTracker;
import org.dragonflygw.core.routing.PrefixAffinityOrder;

/** Policies that the steward is compared with. */
final class Baselines {
    private Baselines() {}

    /** Each router sends its requests to the engines in turn. */
    static Policy roundRobin(PolicyLoop loop) {
        int[] next = new int[loop.scenario().routers()];
        return new DirectPolicy("round robin", loop) {
            @Override
            int choose(Attempt attempt) {
                int engine = next[attempt.router()]++ % engines.size();
                while (!usable(attempt, engine)) {
                    engine = next[attempt.router()]++ % engines.size();
                }
                return engine;
            }
        };
    }

    /** The less loaded of two random engines. */
    static Policy twoChoices(PolicyLoop loop, long seed) {
        Random random = new Random(seed);
        return new DirectPolicy("two choices", loop) {
            @Override
            int choose(Attempt attempt) {
                int first = pick(attempt);
                int second = pick(attempt);
                return believedLoad(attempt, first) <= believedLoad(attempt, second) ? first : second;
            }

            private int pick(Attempt attempt) {
                int engine = random.nextInt(engines.size());
                while (!usable(attempt, engine)) {
                    engine = random.nextInt(engines.size());
                }
                return engine;
            }
        };
    }

    /** The engine of the chat by rendezvous hashing. */
    static Policy consistentHashing(PolicyLoop loop) {
        return new DirectPolicy("consistent hashing", loop) {
            @Override
            int choose(Attempt attempt) {
                int[] order = table.highestScoring(Keys.of(attempt.arrival()).chatHash(), 4);
                for (int engine : order) {
                    if (usable(attempt, engine)) {
                        return engine;
                    }
                }
                return order[0];
            }
        };
    }

    /** The first engine of the chat's order that is believed to be within the load bound. */
    static Policy boundedLoads(PolicyLoop loop) {
        return new DirectPolicy("consistent hashing, bounded loads", loop) {
            @Override
            int choose(Attempt attempt) {
                int[] order = table.highestScoring(Keys.of(attempt.arrival()).chatHash(), engines.size());
                return withinBound(this, attempt, order);
            }
        };
    }

    /** The candidate order of the product, with load statements and no steward. */
    static Policy gossipOnly(PolicyLoop loop) {
        CandidateOrder[] orders = new CandidateOrder[loop.scenario().routers()];
        for (int i = 0; i < orders.length; i++) {
            orders[i] = new PrefixAffinityOrder(new HotPrefixTracker(256, 4_096), 1);
        }
        return new DirectPolicy("affinity, gossiped loads", loop) {
            @Override
            int choose(Attempt attempt) {
                int[] order = orders[attempt.router()].rank(Keys.of(attempt.arrival()), table, engines.size());
                return withinBound(this, attempt, order);
            }
        };
    }

    /** The engine with the most of the prompt in its cache, from true caches and true loads. */
    static Policy oracle(PolicyLoop loop) {
        return new DirectPolicy("oracle", loop) {
            @Override
            int choose(Attempt attempt) {
                double mean = engines.stream()
                        .mapToInt(FakeEngine::inFlight)
                        .average()
                        .orElse(0);
                int best = -1;
                int least = -1;
                for (int i = 0; i < engines.size(); i++) {
                    FakeEngine engine = engines.get(i);
                    if (!usable(attempt, i)
                            || engine.isFailing()
                            || engine.isDown(loop.clock().now())) {
                        continue;
                    }
                    boolean fits = engine.hasRoom() && engine.inFlight() + 1 <= PolicyLoop.LOAD_BOUND * mean + 1;
                    if (fits && (best < 0 || isBetter(attempt, engine, engines.get(best)))) {
                        best = i;
                    }
                    if (least < 0 || engine.inFlight() < engines.get(least).inFlight()) {
                        least = i;
                    }
                }
                if (best < 0) {
                    return Math.max(0, least);
                }
                return best;
            }

            private boolean isBetter(Attempt attempt, FakeEngine engine, FakeEngine best) {
                int more = engine.cached(attempt.arrival()) - best.cached(attempt.arrival());
                return more > 0 || (more == 0 && engine.inFlight() < best.inFlight());
            }
        };
    }

    private static int withinBound(DirectPolicy policy, Attempt attempt, int[] order) {
        double mean = policy.believedMean(attempt);
        int least = order[0];
        for (int engine : order) {
            if (!policy.usable(attempt, engine)) {
                continue;
            }
            int load = policy.believedLoad(attempt, engine);
            if (load + 1 <= PolicyLoop.LOAD_BOUND * mean + 1 && load < FakeEngine.MAX_BATCH) {
                return engine;
            }
            if (load < policy.believedLoad(attempt, least)) {
                least = engine;
            }
        }
        return least;
    }
}
