package org.dragonflygw.cli;

import java.util.List;

/**
 * Answers of the daemons of the fleet.
 *
 * @param answers one of each daemon that answered
 * @param silent the daemons that did not answer, each with the reason
 */
public record FleetAnswers<T>(List<T> answers, List<String> silent) {
    public FleetAnswers {
        answers = List.copyOf(answers);
        silent = List.copyOf(silent);
    }

    /** Exit code that tells whether the answers are complete. */
    public ExitCode exitCode() {
        return silent.isEmpty() ? ExitCode.OK : ExitCode.PARTIAL;
    }
}
