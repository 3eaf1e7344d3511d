package org.dragonflygw.core.timeline;

/**
 * What an {@link EventRing} holds.
 *
 * @param capacityBytes memory for events
 * @param usedBytes memory in use
 * @param events events held
 * @param recorded events recorded since the start
 */
public record RingUsage(long capacityBytes, long usedBytes, long events, long recorded) {}
