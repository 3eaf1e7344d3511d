package org.dragonflygw.core.dispatch;

import java.util.random.RandomGenerator;

/**
 * Selects the engines that are compared for one request, so that hosts with the same old knowledge do not all choose the
 * same engine. A shared prompt prefix has as many home engines as its traffic needs, the first in its rendezvous order.
 * The older the knowledge, the smaller the random sample of engines that one request compares: a sample is so small that
 * few requests sent within the age of the knowledge compare the same engine. Not thread-safe.
 */
final class PrefixSpread {
    /** Number of home engines per share of the traffic; each then gets an eighth of its requests from the prefix. */
    private static final double MAX_HOMES_PER_SHARE = 8;

    /** The same with fresh knowledge, by which hosts turn to other engines in time. */
    private static final double MIN_HOMES_PER_SHARE = 1;

    /** Home engines per share of the traffic and per request that was sent to an engine since the reports. */
    private static final double HOMES_PER_UNKNOWN_REQUEST = 4;

    /** Number of requests, sent by all hosts within the age of what they know, that compare one engine. */
    private static final double COMPARISONS_PER_ENGINE = 2;

    private final RandomGenerator random;

    PrefixSpread(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Selects engines for a request.
     *
     * @param sharedKey key of the shared prefix; 0 if there is none
     * @param engines number of engines that can serve the request
     */
    Selection select(long sharedKey, int engines, ServiceTraffic traffic, long nowNanos) {
        double sentSinceReports = traffic.sentSinceReports(nowNanos);
        int homes = sharedKey == 0 ? engines : homes(engines, traffic.onPrefix(sharedKey), sentSinceReports);
        double share = sentSinceReports <= COMPARISONS_PER_ENGINE ? 1 : COMPARISONS_PER_ENGINE / sentSinceReports;
        int first = random.nextInt(homes);
        int second = random.nextInt(homes);
        return new Selection(homes, share, first, second, random);
    }

    private static int homes(int engines, double share, double sentSinceReports) {
        double perShare = Math.min(MAX_HOMES_PER_SHARE, HOMES_PER_UNKNOWN_REQUEST * sentSinceReports);
        double needed = Math.ceil(Math.max(MIN_HOMES_PER_SHARE, perShare) * share * engines);
        return (int) Math.max(1, Math.min(engines, needed));
    }

    /** The engines selected for one request. */
    static final class Selection {
        private final int homes;
        private final double share;
        private final int first;
        private final int second;
        private final RandomGenerator random;

        Selection(int homes, double share, int first, int second, RandomGenerator random) {
            this.homes = homes;
            this.share = share;
            this.first = first;
            this.second = second;
            this.random = random;
        }

        /** Returns the number of home engines of the prefix. */
        int homes() {
            return homes;
        }

        /**
         * Returns whether an engine is compared.
         *
         * @param rank rank in the rendezvous order of the prefix
         */
        boolean contains(int rank) {
            return share >= 1 || rank == first || rank == second || random.nextDouble() < share;
        }
    }
}
