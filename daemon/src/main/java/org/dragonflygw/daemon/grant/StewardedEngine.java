package org.dragonflygw.daemon.grant;

import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.StewardSettings;

/**
 * An engine that this daemon is steward of.
 *
 * @param endpoint the engine
 * @param steward its steward
 * @param settings settings that the steward runs with
 * @param loadBound load bound of the service that the steward runs with, as a factor of the mean load
 * @param pool state of the engine's pool
 */
record StewardedEngine(
        Endpoint endpoint, EngineSteward steward, StewardSettings settings, double loadBound, PoolState pool) {}
