package org.dragonflygw.core.ledger;

/**
 * The whole answer to a submission, kept to be given again to the same key.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredAnswer(int status, String contentType, byte[] body) {}
