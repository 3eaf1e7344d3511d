package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Test;

/** Guards against endpoints that are avoided, here or by reports elsewhere, for failures of a host's own paths. */
final class FailuresOfPathsTest {
    private static final long NOW = 1_000_000_000_000L;
    private static final long BLOCK_NANOS = 1_500_000_000L;

    private final EndpointLoads loads = new EndpointLoads();

    private EndpointLoadState endpoint(String id, String service) {
        loads.onUpdated(new DiscoveredEndpoint(id, service, "10.0.0.1", 80, "a", 8, false, 0, 1, "v1"));
        EndpointLoadState e = loads.get(id).orElseThrow();
        e.onFailure(2, NOW);
        e.blockUntil(NOW + BLOCK_NANOS);
        return e;
    }

    @Test
    void areForgottenWhenThePathsChange() {
        EndpointLoadState e = endpoint("e0", "llm");
        loads.onPathsChanged("llm");
        assertThat(e.ownFailureScore(NOW)).isEqualTo(0);
        assertThat(e.isBlocked(NOW)).isFalse();
    }

    @Test
    void ofOtherServicesStay() {
        EndpointLoadState e = endpoint("e1", "app");
        loads.onPathsChanged("llm");
        assertThat(e.ownFailureScore(NOW)).isEqualTo(2);
        assertThat(e.isBlocked(NOW)).isTrue();
    }
}
