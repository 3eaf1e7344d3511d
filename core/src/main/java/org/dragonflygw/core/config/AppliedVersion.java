package org.dragonflygw.core.config;

/**
 * Content of the version row in the store: the newest accepted sheet and who applied it.
 *
 * @param number version number; increases by one with each accepted sheet
 * @param digest SHA-256 of the sheet's bytes, in hexadecimal
 * @param token idempotency token of the apply; a retry uses the same token
 * @param operator operator who applied the sheet
 * @param appliedAtMillis time of the apply, in milliseconds since the epoch
 */
public record AppliedVersion(long number, String digest, String token, String operator, long appliedAtMillis) {
    /** The part of this row by which daemons fetch the sheet. */
    public SheetVersion version() {
        return new SheetVersion(number, digest);
    }
}
