package org.dragonflygw.core.exchange;

import java.util.Optional;

/**
 * One complete server-sent event.
 *
 * @param bytes the event, including the empty line that ends it
 * @param id value of the id field, if the event has one
 */
@SuppressWarnings("ArrayRecordComponent") // Events are forwarded and never compared.
record StreamEvent(byte[] bytes, Optional<String> id) {}
