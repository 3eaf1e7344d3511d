package org.dragonflygw.core.routing;

import java.util.Arrays;

/**
 * Keeps the first candidates of another order and adds alternatives that seem to have room, so that a request whose
 * first engine is full finds a slot with few questions. The alternatives are drawn by hash of the chat from the whole
 * service: routers with the same stale loads do not run to the same engine.
 */
public final class LoadAwareOrder implements CandidateOrder {
    private static final int MAX_DRAWS = 12;
    private static final int RANKED = 12;

    private final CandidateOrder order;
    private final ServiceLoads loads;
    private final int kept;

    /**
     * Makes an order.
     *
     * @param order order that gives the first candidates
     * @param loads stated loads of the service
     * @param kept number of candidates taken from the other order
     */
    public LoadAwareOrder(CandidateOrder order, ServiceLoads loads, int kept) {
        this.order = order;
        this.loads = loads;
        this.kept = kept;
    }

    @Override
    public int[] rank(CandidateKey key, EndpointTable table, int limit) {
        int[] ranked = order.rank(key, table, Math.max(limit, RANKED));
        int[] result = new int[Math.min(limit, table.size())];
        int filled = 0;
        for (int i = 0; i < ranked.length && filled < Math.min(kept, result.length); i++) {
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
