package org.dragonflygw.core.request;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Validated headers of a request.
 *
 * @param chatId chat that the request continues; empty if there is none
 * @param idempotencyKey key that identifies the submission, if the caller gave one
 * @param nonIdempotent whether the request must run at most once
 * @param deadlineMillis how long the caller waits, in milliseconds, if the caller stated a limit
 * @param priority priority from 0 to 9 that the caller asks for, if any
 */
public record RequestHeaders(
        String chatId,
        Optional<String> idempotencyKey,
        boolean nonIdempotent,
        OptionalLong deadlineMillis,
        OptionalInt priority) {
    private static final int MAX_ID_CHARS = 200;
    private static final long MAX_DEADLINE_MILLIS = 3_600_000;
    private static final int MAX_PRIORITY = 9;

    /**
     * Validates the values of the headers; each is null if the header is absent.
     *
     * @throws RequestException if a value is invalid, or if a request that must run at most once has no idempotency key
     */
    public static RequestHeaders of(
            String chatId, String idempotencyKey, String nonIdempotent, String deadlineMillis, String priority) {
        checkId("X-Chat-Id", chatId);
        checkId("Idempotency-Key", idempotencyKey);
        boolean once = parseFlag("X-Non-Idempotent", nonIdempotent);
        if (once && idempotencyKey == null) {
            throw new RequestException(
                    RequestCode.IDEMPOTENCY_KEY_REQUIRED, "X-Non-Idempotent needs an Idempotency-Key");
        }
        OptionalLong deadline = deadlineMillis == null
                ? OptionalLong.empty()
                : OptionalLong.of(parseNumber("X-Deadline-Millis", deadlineMillis, 1, MAX_DEADLINE_MILLIS));
        OptionalInt priorityValue = priority == null
                ? OptionalInt.empty()
                : OptionalInt.of((int) parseNumber("X-Priority", priority, 0, MAX_PRIORITY));
        return new RequestHeaders(
                chatId == null ? "" : chatId, Optional.ofNullable(idempotencyKey), once, deadline, priorityValue);
    }

    private static void checkId(String header, String value) {
        if (value == null) {
            return;
        }
        boolean valid = !value.isEmpty() && value.length() <= MAX_ID_CHARS;
        for (int i = 0; valid && i < value.length(); i++) {
            valid = value.charAt(i) > ' ' && value.charAt(i) < 0x7f;
        }
        if (!valid) {
            throw new RequestException(
                    RequestCode.INVALID_HEADER,
                    header + " must have 1 to " + MAX_ID_CHARS + " visible ASCII characters");
        }
    }

    private static boolean parseFlag(String header, String value) {
        if (value == null || value.equals("false")) {
            return false;
        }
        if (value.equals("true")) {
            return true;
        }
        throw new RequestException(RequestCode.INVALID_HEADER, header + " must be true or false");
    }

    private static long parseNumber(String header, String value, long min, long max) {
        long number;
        try {
            number = Long.parseLong(value);
        } catch (NumberFormatException e) {
            number = min - 1;
        }
        if (number < min || number > max) {
            throw new RequestException(
                    RequestCode.INVALID_HEADER, header + " must be a whole number from " + min + " to " + max);
        }
        return number;
    }
}
