package org.dragonflygw.daemon.grant;

import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.StewardSettings;

/**
 * One engine that this daemon owns.
 *
 * @param endpoint the engine
 * @param steward its steward
 * @param settings settings that the steward was made with
 * @param bound load bound that the steward was made with
 * @param board board of its pool
 */
record Stewarded(Endpoint endpoint, EngineSteward steward, StewardSettings settings, double bound, PoolBoard board) {}
