package org.dragonflygw.core.resume;

/**
 * Key of a row with software versions. Each row has a key of its own and its content only ever shrinks, so that a write that
 * the store makes late undoes no other.
 *
 * @param service service whose versions the row names
 * @param era era of the store in which the row was written; later rows may be lost if the store has another era now
 */
record VersionRowKey(String service, long era) {
    private static final char SEPARATOR = '~';

    /** Era of a row whose key names none. */
    private static final long NO_ERA = Long.MIN_VALUE;

    /** Returns the key of a new row. */
    String newKey(long nonce) {
        return service + SEPARATOR + era + SEPARATOR + Long.toHexString(nonce);
    }

    static VersionRowKey parse(String key) {
        int nonce = key.lastIndexOf(SEPARATOR);
        int era = nonce < 0 ? -1 : key.lastIndexOf(SEPARATOR, nonce - 1);
        if (era < 0) {
            return new VersionRowKey(key, NO_ERA);
        }
        try {
            return new VersionRowKey(key.substring(0, era), Long.parseLong(key.substring(era + 1, nonce)));
        } catch (NumberFormatException e) {
            return new VersionRowKey(key, NO_ERA); // The key of another release, whose rows name the service only.
        }
    }
}
