package org.dragonflygw.core.timeline;

/**
 * Memory use and event counts of an {@link EventRing}.
 *
 * @param capacityBytes memory for events, in bytes
 * @param usedBytes memory in use, in bytes
 * @param events number of events in the ring
 * @param recorded number of events recorded since the start of the daemon, including overwritten ones
 */
public record RingUsage(long capacityBytes, long usedBytes, long events, long recorded) {}
