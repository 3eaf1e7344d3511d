package org.dragonflygw.wire.settings;

import java.util.List;
import org.dragonflygw.core.error.CodedException;

/** Thrown when settings are invalid. The message lists all invalid settings. */
public final class SettingsException extends CodedException {
    private final transient List<String> problems;

    public SettingsException(List<String> problems) {
        super(
                SettingsCode.INVALID_SETTINGS,
                problems.size() + " wrong setting(s):\n  " + String.join("\n  ", problems));
        this.problems = List.copyOf(problems);
    }

    /** One line per invalid setting: the flag or variable, and the problem. */
    public List<String> problems() {
        return problems;
    }
}
