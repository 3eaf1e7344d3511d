package org.dragonflygw.core.settings;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class SettingsHolderTest {
    private static final double LINK = 1_250;
    private static final HostAddress STORE = new HostAddress("10.0.0.9", 8_223);

    private final HostSettings start = new HostSettings(identity("zone-a"), LINK, STORE, bounds(2_000));
    private final SettingsHolder holder = new SettingsHolder(start);

    private static HostIdentity identity(String zone) {
        HostAddress address = new HostAddress("10.0.0.1", 8_227);
        return new HostIdentity("host-1", "10.0.0.1", zone, address, address, 7_340);
    }

    private static HostBounds bounds(long drainMs) {
        return new HostBounds(
                drainMs, 8_000, 2_000, 5_000, new RetryBounds(0.2, 52, 10_000_000_000L), 2, 1_200, 0, false);
    }

    @Test
    void changedLimitsTakeEffectAtOnce() {
        HostSettings next = new HostSettings(identity("zone-a"), LINK, STORE, bounds(3_000));
        assertThat(holder.offer(next)).isEqualTo(SettingsChange.IN_FORCE);
        assertThat(holder.bounds().drainMs()).isEqualTo(3_000);
    }

    @Test
    void changedStoreAddressTakesEffectAtOnce() {
        HostAddress moved = new HostAddress("10.0.0.10", 8_223);
        assertThat(holder.offer(new HostSettings(identity("zone-a"), LINK, moved, bounds(2_000))))
                .isEqualTo(SettingsChange.IN_FORCE);
        assertThat(holder.store()).isEqualTo(moved);
    }

    @Test
    void changedIdentityIsIgnoredWhileChangedLimitsTakeEffect() {
        HostSettings next = new HostSettings(identity("zone-b"), LINK, STORE, bounds(3_000));
        assertThat(holder.offer(next)).isEqualTo(SettingsChange.PARTLY_AT_NEXT_START);
        assertThat(holder.current().identity().zone()).isEqualTo("zone-a");
        assertThat(holder.bounds().drainMs()).isEqualTo(3_000);
    }

    @Test
    void unchangedSettingsGiveNone() {
        assertThat(holder.offer(new HostSettings(identity("zone-a"), LINK, STORE, bounds(2_000))))
                .isEqualTo(SettingsChange.NONE);
    }
}
