package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dragonflygw.core.crash.CrashReport;
import org.dragonflygw.core.crash.PartReport;
import org.dragonflygw.core.dispatch.LeavingEndpoint;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.peers.EndpointUse;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PromptHolding;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.ConfigurationNews;
import org.dragonflygw.core.storenews.EndpointChange;
import org.dragonflygw.core.storenews.StoreNews;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a datagram with wrong bytes that fails in another way than as unreadable, or takes all memory. */
final class MalformedReportTest {
    private static final int TRIES = 20_000;

    private final HostReportCodec codec = new HostReportCodec();

    private static HostReport report() {
        StoreNews news = new StoreNews(
                0,
                true,
                9,
                20,
                3,
                List.of(new EndpointChange("i-2", Optional.empty(), 9)),
                new ConfigurationNews(9, 0, 30, List.of()),
                new EvacuationNews(77, List.of("zone-a")));
        return new HostReport(
                "h1",
                new HostAddress("10.0.0.2", 7_000),
                1,
                2,
                List.of(new EndpointUse("i-1", 3, 4, 0.25)),
                List.of(new PromptHolding("i-1", List.of(new PromptPart(5, 6)))),
                CrashReport.NONE,
                PartReport.NONE,
                List.of(new LeavingEndpoint("i-3", 17, 250)),
                List.of(),
                news);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void isReadableOrRejected(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] valid = codec.encode(report());
        int rejected = 0;
        for (int i = 0; i < TRIES; i++) {
            byte[] bytes = Arrays.copyOf(valid, random.nextInt(8) == 0 ? random.nextInt(valid.length) : valid.length);
            for (int j = random.nextInt(4); j >= 0 && bytes.length > 0; j--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                codec.decode(bytes);
            } catch (WireException e) {
                rejected++;
            }
        }
        assertThat(rejected).isGreaterThan(TRIES / 10);
    }
}
