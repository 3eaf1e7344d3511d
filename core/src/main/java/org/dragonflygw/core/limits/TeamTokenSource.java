package org.dragonflygw.core.limits;

import java.util.Optional;
import org.dragonflygw.core.config.Team;

/** Fetches tokens from the steward of a team, the daemon that holds its token bucket. Thread-safe. */
public interface TeamTokenSource {
    /**
     * Takes tokens from the bucket of a team.
     *
     * @param team team with its rate and burst
     * @param wanted number of tokens that this daemon can use
     * @return the reply, or empty if the steward is unreachable
     */
    Optional<TeamTokens> take(Team team, int wanted);
}
