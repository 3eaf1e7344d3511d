package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.routing.SlotRequest;
import org.dragonflygw.core.routing.SlotStatus;
import org.dragonflygw.core.timeline.HybridTimestamp;
import org.dragonflygw.wire.grants.GrantRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class GrantCodecTest {
    private static final HybridTimestamp NOW = new HybridTimestamp(1_000, 2);
    private static final SlotRequest REQUEST = new SlotRequest("r1", "clerks", 3, 4, 5, 6, 700, 80, true, true, true);

    @Test
    void requestsKeepAllFields() {
        GrantRequest wire = GrantCodec.toWire(REQUEST, "engine-1", "reviewer", 5, NOW);
        assertThat(GrantCodec.fromWire(wire)).isEqualTo(REQUEST);
        assertThat(wire.getEngineId()).isEqualTo("engine-1");
    }

    @ParameterizedTest
    @EnumSource(SlotStatus.class)
    void decisionsKeepAllFields(SlotStatus status) {
        SlotDecision decision = new SlotDecision(status, 1, 2, 3, 4, 5, "engine-2", 6, true, true);
        assertThat(GrantCodec.fromWire(GrantCodec.toWire(decision, NOW))).isEqualTo(decision);
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void outcomesKeepTheirMeaning(AttemptOutcome outcome) {
        assertThat(GrantCodec.fromWire(GrantCodec.toWire(outcome))).isEqualTo(outcome);
    }

    @Test
    void requestWithInvalidFieldsIsRejected() {
        GrantRequest negative =
                GrantCodec.toWire(REQUEST, "engine-1", "reviewer", 5, NOW).setMaxWaitMillis(-1);
        assertThrows(WireException.class, () -> GrantCodec.fromWire(negative));
        GrantRequest nameless = GrantCodec.toWire(REQUEST, "", "reviewer", 5, NOW);
        assertThrows(WireException.class, () -> GrantCodec.fromWire(nameless));
        GrantRequest weightless =
                GrantCodec.toWire(REQUEST, "engine-1", "reviewer", 5, NOW).setTeamWeight(0);
        assertThrows(WireException.class, () -> GrantCodec.fromWire(weightless));
    }
}
