package org.dragonflygw.daemon.config;

import com.google.inject.Inject;
import java.util.Optional;
import org.dragonflygw.core.config.SheetReadiness;
import org.dragonflygw.daemon.operator.ReadinessCheck;

/** Holds when the sheet in force is the newest as far as enough sources tell. */
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
                : Optional.of("not enough sources have told the newest configuration");
    }
}
