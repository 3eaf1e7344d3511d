package org.dragonflygw.bench.policy;

import java.util.List;

/** Compares what teams were served with what their weights entitle them to. */
final class FairShares {
    private FairShares() {}

    /**
     * The least served team's share against its entitlement, which is the weighted max-min fair part of all that was
     * served.
     *
     * @param weights weight of each team
     * @param asked requests of each team
     * @param served answers to each team
     */
    static double leastServed(List<Integer> weights, long[] asked, long[] served) {
        double[] entitled = entitled(weights, asked, served);
        double least = 1;
        for (int team = 0; team < served.length; team++) {
            if (entitled[team] > 0) {
                least = Math.min(least, served[team] / entitled[team]);
            }
        }
        return least;
    }

    private static double[] entitled(List<Integer> weights, long[] asked, long[] served) {
        double left = 0;
        for (long count : served) {
            left += count;
        }
        double[] entitled = new double[asked.length];
        boolean[] satisfied = new boolean[asked.length];
        for (int round = 0; round < asked.length; round++) {
            double weight = 0;
            for (int team = 0; team < asked.length; team++) {
                weight += satisfied[team] ? 0 : weights.get(team);
            }
            boolean changed = false;
            double available = left;
            for (int team = 0; team < asked.length; team++) {
                double part = weight == 0 ? 0 : available * weights.get(team) / weight;
                if (!satisfied[team] && asked[team] <= part) {
                    satisfied[team] = true;
                    entitled[team] = asked[team];
                    left -= asked[team];
                    changed = true;
                } else if (!satisfied[team]) {
                    entitled[team] = part;
                }
            }
            if (!changed) {
                return entitled;
            }
        }
        return entitled;
    }
}
