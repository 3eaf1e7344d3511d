package org.dragonflygw.core.routing;

/**
 * Cache-aware order without a table of chats. The prefix picks a set of engines by rendezvous hashing, as many as its
 * share of the traffic needs; the chat picks its engine within the set, so all turns of a chat and all chats on the
 * same documents meet a warm cache. After the set come the next engines in the order of the prefix. Set sizes are
 * powers of two, so that routers with slightly different estimates agree on most chats.
 */
public final class PrefixAffinityOrder implements CandidateOrder {
    private static final int MIN_OBSERVED_REQUESTS = 32;

    private final HotPrefixTracker tracker;
    private final double setShare;

    /**
     * Makes an order.
     *
     * @param tracker shares of the prefixes of the service
     * @param setShare greatest share of an even load that one prefix may put on one engine of its set
     */
    public PrefixAffinityOrder(HotPrefixTracker tracker, double setShare) {
        this.tracker = tracker;
        this.setShare = setShare;
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
        while (spread < size && share * size > spread * setShare) {
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
