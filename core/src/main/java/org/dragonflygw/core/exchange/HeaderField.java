package org.dragonflygw.core.exchange;

/**
 * One header field of a message that is forwarded.
 *
 * @param name name as received
 * @param value value as received
 */
public record HeaderField(String name, String value) {}
