package org.dragonflygw.wire.settings;

import java.util.List;
import org.dragonflygw.core.error.CodedException;

/** Settings that cannot be used. The message names every wrong one. */
public final class SettingsException extends CodedException {
    private final transient List<String> problems;

    public SettingsException(List<String> problems) {
        super(
                SettingsCode.INVALID_SETTINGS,
                problems.size() + " wrong setting(s):\n  " + String.join("\n  ", problems));
        this.problems = List.copyOf(problems);
    }

    /** One line for each wrong setting. */
    public List<String> problems() {
        return problems;
    }
}
