package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;

/** A request that ends the endpoints that run it is recognized when it comes again, and refused after the third end. */
final class CrashingRequestDataPlaneTest {
    private static final int ENDPOINTS = 6;
    private static final int REPEATS = 4;

    /** Number of ended endpoints after which the request is refused. */
    private static final int MAX_ENDS = 3;

    private final RawEndpoint[] endpoints = new RawEndpoint[ENDPOINTS];

    CrashingRequestDataPlaneTest() {
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints[i] = new RawEndpoint((head, s, out) -> false);
        }
    }

    private int received() {
        int received = 0;
        for (RawEndpoint e : endpoints) {
            received += e.heads().size();
        }
        return received;
    }

    private static String withoutBody(String id) {
        return "GET /again/crash HTTP/1.1\r\nHost: h\r\nDragonflygw-Attempt-Id: " + id
                + "\r\nDragonflygw-Deadline-Ms: 2500\r\nAuthorization: Bearer key\r\n\r\n";
    }

    @Test
    void withABodyIsRefusedAfterTheThirdEnd() throws IOException {
        try (EdgeFixture f = new EdgeFixture(endpoints)) {
            for (int i = 0; i < REPEATS; i++) {
                f.exchange(EdgeFixture.request("/again/crash", "id" + i));
            }
            assertThat(received()).isEqualTo(MAX_ENDS);
        }
    }

    /** Guards against requests without a body, which were not recognized when they came again. */
    @Test
    void withoutABodyIsRefusedAfterTheThirdEnd() throws IOException {
        try (EdgeFixture f = new EdgeFixture(endpoints)) {
            for (int i = 0; i < REPEATS; i++) {
                f.exchange(withoutBody("id" + i));
            }
            assertThat(received()).isEqualTo(MAX_ENDS);
            assertThat(f.exchange(withoutBody("last"))).startsWith("HTTP/1.1 503");
        }
    }

    /** Guards against a request that many callers send alike and that is blocked when its endpoints end for another reason. */
    @Test
    void withoutABodyIsServedOnIfItWasServedBefore() throws IOException {
        RawEndpoint fine = new RawEndpoint((head, s, out) -> {
            RawEndpoint.write(out, DataPlaneTest.answer(head, "fine"));
            return true;
        });
        try (EdgeFixture f = new EdgeFixture(fine)) {
            assertThat(f.exchange(withoutBody("first"))).contains("fine");
            f.removeEndpoint("i-0");
            for (int i = 0; i < ENDPOINTS; i++) {
                f.addEndpoint("crashing-" + i, endpoints[i]);
            }
            for (int i = 0; i < REPEATS; i++) {
                assertThat(f.exchange(withoutBody("id" + i))).startsWith("HTTP/1.1 502");
            }
            assertThat(received()).isGreaterThan(MAX_ENDS);
        }
    }

    /** Guards against a caller whose key was replaced, with which the same request counted as another one. */
    @Test
    void withAnotherKeyOfItsTeamIsRefusedAfterTheThirdEnd() throws IOException {
        try (EdgeFixture f = new EdgeFixture(endpoints)) {
            for (int i = 0; i < REPEATS; i++) {
                String key = i % 2 == 0 ? "Bearer key\r" : "Bearer second-key\r";
                f.exchange(EdgeFixture.request("/again/crash", "id" + i).replace("Bearer key\r", key));
            }
            assertThat(received()).isEqualTo(MAX_ENDS);
        }
    }
}
