package org.dragonflygw.daemon.operator;

import com.google.inject.Inject;
import java.util.Optional;
import org.dragonflygw.core.config.SheetSource;

/** Readiness condition that holds when a sheet is in force. */
public final class ActiveSheetCheck implements ReadinessCheck {
    private final SheetSource sheets;

    @Inject
    public ActiveSheetCheck(SheetSource sheets) {
        this.sheets = sheets;
    }

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public Optional<String> problem() {
        return sheets.current().version().number() == 0
                ? Optional.of("no configuration is in force")
                : Optional.empty();
    }
}
