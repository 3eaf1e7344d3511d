package org.dragonflygw.core.evacuation;

/**
 * Change of the row that evacuates an availability zone.
 *
 * @param zone name of the zone
 * @param version store version of the change
 * @param evacuated whether the row exists after the change
 */
public record EvacuationChange(String zone, long version, boolean evacuated) {}
