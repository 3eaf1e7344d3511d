package org.dragonflygw.core.stream;

import java.nio.charset.StandardCharsets;

/**
 * One server-sent event within the buffer of its decoder. Valid until the decoder takes more bytes.
 *
 * @param buffer bytes that hold the event
 * @param offset start of the event
 * @param length length of the event with the blank line that ends it
 * @param sequence value of its id field; {@link #NO_SEQUENCE} when it has none
 * @param dataOffset start of the value of its data field
 * @param dataLength length of the value of its data field; 0 when it has none
 * @param named whether it has an event field, which no token of an answer has
 */
@SuppressWarnings("ArrayRecordComponent")
public record SseEvent(
        byte[] buffer, int offset, int length, long sequence, int dataOffset, int dataLength, boolean named) {
    /** Sequence of an event without an id field. */
    public static final long NO_SEQUENCE = -1;

    /** The value of the data field as text. */
    public String data() {
        return new String(buffer, dataOffset, dataLength, StandardCharsets.UTF_8);
    }
}
