package org.dragonflygw.core.routing;

import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;

/**
 * The endpoints of one service, prepared for ranking: hashes and weights in arrays. Immutable; built once for each
 * change of the pool and shared by all threads.
 */
public final class EndpointTable {
    private final List<Endpoint> endpoints;
    private final long[] idHashes;
    private final int[] weights;
    private final int totalCapacity;

    private EndpointTable(List<Endpoint> endpoints) {
        this.endpoints = List.copyOf(endpoints);
        this.idHashes = new long[endpoints.size()];
        this.weights = new int[endpoints.size()];
        int total = 0;
        for (int i = 0; i < idHashes.length; i++) {
            Endpoint endpoint = endpoints.get(i);
            idHashes[i] = RoutingHash.of(endpoint.id());
            weights[i] = Math.max(1, endpoint.capacity());
            total += weights[i];
        }
        this.totalCapacity = total;
    }

    /** A table of all endpoints that are not leaving; suspended ones keep their place in the order. */
    public static EndpointTable of(List<Endpoint> endpoints) {
        return new EndpointTable(endpoints.stream()
                .filter(e -> e.state() != EndpointState.LEAVING)
                .toList());
    }

    /** Number of endpoints. */
    public int size() {
        return idHashes.length;
    }

    /** The endpoint at an index. */
    public Endpoint endpoint(int index) {
        return endpoints.get(index);
    }

    /** All endpoints, in index order. */
    public List<Endpoint> endpoints() {
        return endpoints;
    }

    /** The endpoint with an id; empty when it is not in the table. */
    public Optional<Endpoint> find(String endpointId) {
        return endpoints.stream().filter(e -> e.id().equals(endpointId)).findFirst();
    }

    /** Sum of the capacities. */
    public int totalCapacity() {
        return totalCapacity;
    }

    /** Hash of the id of the endpoint at an index. */
    public long idHash(int index) {
        return idHashes[index];
    }

    /** Rendezvous score of the endpoint at an index for a key. */
    public long score(long key, int index) {
        return RoutingHash.score(key, idHashes[index], weights[index]);
    }

    /** Indices of the endpoints with the highest scores for a key, best first. */
    public int[] highestScoring(long key, int limit) {
        int size = Math.min(limit, idHashes.length);
        int[] best = new int[size];
        long[] scores = new long[size];
        int filled = 0;
        for (int i = 0; i < idHashes.length; i++) {
            long score = score(key, i);
            if (filled == size && score <= scores[size - 1]) {
                continue;
            }
            int place = filled == size ? size - 1 : filled++;
            while (place > 0 && scores[place - 1] < score) {
                scores[place] = scores[place - 1];
                best[place] = best[place - 1];
                place--;
            }
            scores[place] = score;
            best[place] = i;
        }
        return best;
    }
}
