package org.dragonflygw.daemon.operator;

import com.google.inject.Inject;
import java.util.Optional;
import org.dragonflygw.daemon.stop.PlannedStop;
import org.dragonflygw.daemon.stop.StopPhase;

/** Readiness condition that holds until a planned stop begins. */
public final class StopCheck implements ReadinessCheck {
    private final PlannedStop stop;

    @Inject
    public StopCheck(PlannedStop stop) {
        this.stop = stop;
    }

    @Override
    public String name() {
        return "running";
    }

    @Override
    public Optional<String> problem() {
        StopPhase phase = stop.progress().phase();
        return phase == StopPhase.RUNNING ? Optional.empty() : Optional.of("planned stop: " + phase);
    }
}
