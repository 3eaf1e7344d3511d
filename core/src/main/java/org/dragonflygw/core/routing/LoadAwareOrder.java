package org.dragonflygw.core.routing;

import java.util.Arrays;

/**
 * Keeps the first candidates of another order and adds alternatives whose stated load is below the mean, so that a
 * request whose first engine is full finds a slot with few calls to stewards. The alternatives are drawn from the whole
 * service by the hash of the chat, so that routers with the same stale loads do not all choose the same engine.
 */
public final class LoadAwareOrder implements CandidateOrder {
    private static final int MAX_DRAWS = 12;
    private static final int MIN_RANKED = 12;

    private final CandidateOrder primaryOrder;
    private final ServiceLoads loads;
    private final int primaryCandidates;

    /**
     * @param primaryOrder order of the first candidates
     * @param loads last stated loads of the service
     * @param primaryCandidates maximum number of candidates taken from the other order before the alternatives
     */
    public LoadAwareOrder(CandidateOrder primaryOrder, ServiceLoads loads, int primaryCandidates) {
        this.primaryOrder = primaryOrder;
        this.loads = loads;
        this.primaryCandidates = primaryCandidates;
    }

    @Override
    public int[] rank(CandidateKey key, EndpointTable table, int limit) {
        int[] ranked = primaryOrder.rank(key, table, Math.max(limit, MIN_RANKED));
        int[] result = new int[Math.min(limit, table.size())];
        int filled = 0;
        for (int i = 0; i < ranked.length && filled < Math.min(primaryCandidates, result.length); i++) {
            if (i == 0 || loads.isBelowMean(table.endpoint(ranked[i]).id())) {
                result[filled++] = ranked[i];
            }
        }
        for (int draw = 0; draw < MAX_DRAWS && filled < result.length; draw++) {
            int index = (int) Long.remainderUnsigned(RoutingHash.mix(key.chatHash(), draw), table.size());
            if (!contains(result, filled, index)
                    && loads.isBelowMean(table.endpoint(index).id())) {
                result[filled++] = index;
            }
        }
        for (int i = 1; i < ranked.length && filled < result.length; i++) {
            if (!contains(result, filled, ranked[i])) {
                result[filled++] = ranked[i];
            }
        }
        return filled == result.length ? result : Arrays.copyOf(result, filled);
    }

    private static boolean contains(int[] values, int filled, int value) {
        for (int i = 0; i < filled; i++) {
            if (values[i] == value) {
                return true;
            }
        }
        return false;
    }
}
