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
 * @param loadBound load bound that the steward was made with
 * @param pool board of its pool
 */
record StewardedEngine(
        Endpoint endpoint, EngineSteward steward, StewardSettings settings, double loadBound, PoolState pool) {}
