package org.dragonflygw.core.timeline;

/**
 * One event of the time line.
 *
 * @param at reading of the daemon's hybrid clock
 * @param daemonId daemon that recorded it
 * @param type what happened
 * @param subject what it is about
 * @param detail a short text with figures and their units; may be empty
 */
public record Event(HybridTimestamp at, String daemonId, EventType type, EventSubject subject, String detail) {}
