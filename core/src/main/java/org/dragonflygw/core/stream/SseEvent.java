package org.dragonflygw.core.stream;

import java.nio.charset.StandardCharsets;

/**
 * One server-sent event as a view of its decoder's buffer. Valid until more bytes are appended to the decoder.
 *
 * @param buffer buffer that contains the event
 * @param offset offset of the event in the buffer
 * @param length length of the event in bytes, including the blank line that ends it
 * @param sequence value of the id field, which is the number of the token; {@link #NO_SEQUENCE} if there is none
 * @param dataOffset offset of the value of the data field in the buffer
 * @param dataLength length of the value of the data field in bytes; 0 if there is none
 * @param named whether there is an event field, which events with tokens never have
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
