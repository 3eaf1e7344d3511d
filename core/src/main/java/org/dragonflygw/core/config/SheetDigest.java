package org.dragonflygw.core.config;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digest that names the content of a sheet. */
public final class SheetDigest {
    private static final String OBJECT_PREFIX = "sheets/";

    private SheetDigest() {}

    /** SHA-256 of the content, in hexadecimal. */
    public static String of(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    /** Key of the content with the digest in the object store. */
    public static String objectKey(String digest) {
        return OBJECT_PREFIX + digest;
    }
}
