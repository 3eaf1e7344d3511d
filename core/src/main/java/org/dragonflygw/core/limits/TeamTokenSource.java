package org.dragonflygw.core.limits;

import java.util.Optional;
import org.dragonflygw.core.config.Team;

/** Asks the daemon that keeps a team's token bucket. Safe from every thread. */
public interface TeamTokenSource {
    /**
     * Takes tokens.
     *
     * @param team team with its rate and burst
     * @param wanted number of tokens that the asker has use for
     * @return the answer; empty when the keeper can't be reached
     */
    Optional<TeamTokens> take(Team team, int wanted);
}
