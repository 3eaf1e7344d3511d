package org.dragonflygw.core.dispatch;

/**
 * Figures that weigh endpoints against each other.
 *
 * @param zone availability zone of this host
 * @param capFactor most load of an endpoint as a multiple of its service's mean
 */
public record DispatchSettings(String zone, double capFactor) {}
