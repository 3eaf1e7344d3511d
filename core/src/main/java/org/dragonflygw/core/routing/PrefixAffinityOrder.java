package org.dragonflygw.core.routing;

/**
 * Cache-aware order that needs no table of chats. Rendezvous hashing of the prefix selects a set of engines, as many as
 * the prefix's share of the traffic needs; the chat selects its engine within the set. All turns of a chat and all
 * chats on the same documents thus find a warm cache. The next engines in the order of the prefix follow the set. Set
 * sizes are powers of two, so that routers with slightly different estimates agree on most chats.
 */
public final class PrefixAffinityOrder implements CandidateOrder {
    private static final int MIN_OBSERVED_REQUESTS = 32;

    private final HotPrefixTracker tracker;
    private final double maxEngineShare;

    /**
     * @param tracker traffic shares of the prefixes of the service
     * @param maxEngineShare load that one prefix may put on one engine of its set, as a share of the mean load of an
     *     engine
     */
    public PrefixAffinityOrder(HotPrefixTracker tracker, double maxEngineShare) {
        this.tracker = tracker;
        this.maxEngineShare = maxEngineShare;
    }

    @Override
    public int[] rank(CandidateKey key, EndpointTable table, int limit) {
        int size = table.size();
        if (size == 0) {
            return new int[0];
        }
        double share = tracker.record(key.prefixHash());
        int spread = Math.min(size, spread(share, size));
        if (spread >= size) {
            return table.highestScoring(key.chatHash(), limit);
        }
        int[] ranked = table.highestScoring(key.prefixHash(), Math.max(limit, spread));
        sortByChat(ranked, spread, key.chatHash(), table);
        return ranked.length <= limit ? ranked : java.util.Arrays.copyOf(ranked, limit);
    }

    private int spread(double share, int size) {
        if (tracker.observedRequests() < MIN_OBSERVED_REQUESTS) {
            return 1;
        }
        int spread = 1;
        while (spread < size && share * size > spread * maxEngineShare) {
            spread *= 2;
        }
        return spread;
    }

    private static void sortByChat(int[] ranked, int count, long chatHash, EndpointTable table) {
        for (int i = 1; i < count; i++) {
            int index = ranked[i];
            long score = table.score(chatHash, index);
            int place = i;
            while (place > 0 && table.score(chatHash, ranked[place - 1]) < score) {
                ranked[place] = ranked[place - 1];
                place--;
            }
            ranked[place] = index;
        }
    }
}
