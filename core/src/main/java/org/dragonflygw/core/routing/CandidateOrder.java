package org.dragonflygw.core.routing;

/** Ranks the endpoints of a service for a request. Implementations are thread safe. */
public interface CandidateOrder {
    /**
     * Ranks endpoints, best first.
     *
     * @param key hashes of the request
     * @param table endpoints of the service
     * @param limit maximum number of candidates
     * @return distinct indices into the table; fewer than the limit when the table is smaller
     */
    int[] rank(CandidateKey key, EndpointTable table, int limit);
}
