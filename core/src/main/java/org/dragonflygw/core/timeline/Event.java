package org.dragonflygw.core.timeline;

/**
 * One event of the timeline, as recorded by one daemon.
 *
 * @param at time of the event on the daemon's hybrid logical clock
 * @param daemonId id of the daemon that recorded the event
 * @param type what happened
 * @param subject request, chat, endpoint, team, key or lease that the event is about
 * @param detail a short text with figures and their units; may be empty
 */
public record Event(HybridTimestamp at, String daemonId, EventType type, EventSubject subject, String detail) {}
