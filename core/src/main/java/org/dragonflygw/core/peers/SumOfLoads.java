package org.dragonflygw.core.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Loads on endpoints, added up. Not thread-safe. */
final class SumOfLoads {
    private final Map<Integer, EndpointSum> byEndpoint = new HashMap<>();

    void add(Collection<EndpointSum> loads) {
        loads.forEach(l -> byEndpoint.merge(l.endpoint(), l, EndpointSum::plus));
    }

    void subtract(Collection<EndpointSum> loads) {
        loads.forEach(l -> byEndpoint.computeIfPresent(l.endpoint(), (e, sum) -> sum.minus(l)));
    }

    Optional<EndpointSum> get(int endpoint) {
        return Optional.ofNullable(byEndpoint.get(endpoint));
    }

    /** Returns the loads, sorted by endpoint. */
    List<EndpointSum> sorted() {
        List<Integer> endpoints = new ArrayList<>(byEndpoint.keySet());
        Collections.sort(endpoints);
        return endpoints.stream().map(byEndpoint::get).toList();
    }
}
