package org.dragonflygw.core.crash;

/**
 * A part of prompts on which an endpoint wrote an answer and lived on.
 *
 * @param part id of the part
 * @param ageMs time since then, in milliseconds
 */
public record SoundPart(long part, long ageMs) {}
