package org.dragonflygw.core.ledger;

import net.openhft.hashing.LongHashFunction;

/** Keys of submission rows in the table service and of long answers in the object store. */
public final class SubmissionKeys {
    /** Table of all submissions. */
    public static final String TABLE = "submissions";

    /** Number of hash buckets, the key ranges that sweepers scan one at a time. */
    public static final int BUCKETS = 256;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private SubmissionKeys() {}

    /** Key of the row of a submission. The length prefix makes the key unique even if names contain a slash. */
    public static String rowKey(String deployment, String team, String key) {
        String name = team.length() + "." + team + '/' + key;
        int bucket = (int) Math.floorMod(HASH.hashChars(name), (long) BUCKETS);
        return bucketPrefix(deployment, bucket) + name;
    }

    /** Common prefix of the row keys of a bucket. */
    public static String bucketPrefix(String deployment, int bucket) {
        return deployment + '/' + String.format("%02x", bucket) + '/';
    }

    /** Key of the object with the body of an answer. */
    public static String objectKey(String deployment, String token) {
        return "submissions/" + deployment + '/' + token;
    }
}
