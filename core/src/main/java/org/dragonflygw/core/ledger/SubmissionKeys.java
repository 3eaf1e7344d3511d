package org.dragonflygw.core.ledger;

import net.openhft.hashing.LongHashFunction;

/** Keys of submission rows and of the objects with long answers. */
public final class SubmissionKeys {
    /** Table of all submissions. */
    public static final String TABLE = "submissions";

    /** Number of key ranges that daemons sweep independently. */
    public static final int BUCKETS = 256;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private SubmissionKeys() {}

    /** Key of the row of a submission; the length of the team name keeps names with a slash apart. */
    public static String rowKey(String deployment, String team, String key) {
        String name = team.length() + "." + team + '/' + key;
        int bucket = (int) Math.floorMod(HASH.hashChars(name), (long) BUCKETS);
        return bucketPrefix(deployment, bucket) + name;
    }

    /** Prefix that the rows of a bucket share. */
    public static String bucketPrefix(String deployment, int bucket) {
        return deployment + '/' + String.format("%02x", bucket) + '/';
    }

    /** Key of the object that holds the body of an answer. */
    public static String objectKey(String deployment, String token) {
        return "submissions/" + deployment + '/' + token;
    }
}
