package org.dragonflygw.daemon.config;

import com.google.inject.Inject;
import java.util.Optional;
import org.dragonflygw.core.config.SheetReadiness;
import org.dragonflygw.daemon.operator.ReadinessCheck;

/** Readiness check that fails until enough sources have confirmed that the active sheet is the newest version. */
final class SheetSourcesCheck implements ReadinessCheck {
    private final SheetReadiness readiness;

    @Inject
    SheetSourcesCheck(SheetReadiness readiness) {
        this.readiness = readiness;
    }

    @Override
    public String name() {
        return "configuration-sources";
    }

    @Override
    public Optional<String> problem() {
        return readiness.isReady()
                ? Optional.empty()
                : Optional.of("not enough sources have reported the newest configuration version");
    }
}
