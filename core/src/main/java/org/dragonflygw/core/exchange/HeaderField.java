package org.dragonflygw.core.exchange;

/**
 * One header field of a message that is passed on.
 *
 * @param name name as received
 * @param value value as received
 */
public record HeaderField(String name, String value) {}
