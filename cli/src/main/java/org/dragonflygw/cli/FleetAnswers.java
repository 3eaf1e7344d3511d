package org.dragonflygw.cli;

import java.util.List;

/**
 * Result of a read from all daemons of the fleet.
 *
 * @param answers one answer from each daemon that answered
 * @param silent one line per daemon that did not answer: address and reason
 */
public record FleetAnswers<T>(List<T> answers, List<String> silent) {
    public FleetAnswers {
        answers = List.copyOf(answers);
        silent = List.copyOf(silent);
    }

    /** {@link ExitCode#OK} when all daemons answered, else {@link ExitCode#PARTIAL}. */
    public ExitCode exitCode() {
        return silent.isEmpty() ? ExitCode.OK : ExitCode.PARTIAL;
    }
}
