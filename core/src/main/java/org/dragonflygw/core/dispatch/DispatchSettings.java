package org.dragonflygw.core.dispatch;

/**
 * Settings for comparing endpoints.
 *
 * @param zone availability zone of this host
 * @param capFactor upper bound on the load of an endpoint, as a multiple of the mean load of the service
 */
public record DispatchSettings(String zone, double capFactor) {}
