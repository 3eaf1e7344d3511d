package org.dragonflygw.core.config;

/**
 * Content of the version row: the newest accepted sheet and who applied it.
 *
 * @param number grows by one with each accepted sheet
 * @param digest SHA-256 of the content, in hexadecimal
 * @param token names the apply; the same token again is the same apply
 * @param operator who applied it
 * @param appliedAtMillis when, in milliseconds since the epoch
 */
public record AppliedVersion(long number, String digest, String token, String operator, long appliedAtMillis) {
    /** The version that daemons put in force. */
    public SheetVersion version() {
        return new SheetVersion(number, digest);
    }
}
