package org.dragonflygw.core.exchange;

import java.util.Optional;

/**
 * One whole event of a stream.
 *
 * @param bytes the event with its empty line
 * @param id its id, if it has one
 */
@SuppressWarnings("ArrayRecordComponent") // Events are passed on and never compared.
record StreamEvent(byte[] bytes, Optional<String> id) {}
