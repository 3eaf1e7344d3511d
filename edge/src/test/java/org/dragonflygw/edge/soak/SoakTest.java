package org.dragonflygw.edge.soak;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import org.dragonflygw.edge.process.FreePorts;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs a short soak with a fixed seed and checks it without time bounds, which a busy machine can exceed.
 * {@link SoakMain} checks the time bounds too, with other seeds and for longer.
 */
final class SoakTest {
    private static final int HOSTS = 3;
    private static final long MILLIS = 8_000;

    @TempDir
    Path dir;

    @ParameterizedTest
    @ValueSource(longs = {1})
    void hasNoSafetyViolationsUnderRandomFaults(long seed) throws Exception {
        try (Soak soak = new Soak(seed, HOSTS, FreePorts.first(HOSTS), dir)) {
            SoakRecord record = soak.run(MILLIS);
            assertWithMessage("seed %s after %s", seed, soak.actions())
                    .that(SoakChecks.safetyViolations(record))
                    .isEmpty();
        }
    }
}
