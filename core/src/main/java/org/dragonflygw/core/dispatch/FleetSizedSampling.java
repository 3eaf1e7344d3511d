package org.dragonflygw.core.dispatch;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Compares all endpoints while hosts are few and know each other's loads at once. In a larger fleet loads are known
 * late, and hosts that all chose the least loaded endpoint would send to the same one until they hear of it; there two
 * random endpoints are compared.
 */
public final class FleetSizedSampling implements CandidateSampling {
    /** Hosts up to which reports reach all others within half a second. */
    private static final int SMALL_FLEET = 16;

    private final IntSupplier hosts;
    private final RandomGenerator random;

    /**
     * Makes a sampling.
     *
     * @param hosts number of hosts
     */
    public FleetSizedSampling(IntSupplier hosts, RandomGenerator random) {
        this.hosts = hosts;
        this.random = random;
    }

    @Override
    public List<EndpointLoadState> sample(List<EndpointLoadState> usable) {
        int n = usable.size();
        if (n <= 2 || hosts.getAsInt() <= SMALL_FLEET) {
            return usable;
        }
        int first = random.nextInt(n);
        int second = (first + 1 + random.nextInt(n - 1)) % n;
        return List.of(usable.get(first), usable.get(second));
    }
}
