package org.dragonflygw.core.config;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the digest that identifies the content of a sheet. */
public final class SheetDigest {
    private static final String OBJECT_PREFIX = "sheets/";

    private SheetDigest() {}

    /** SHA-256 of the content, in hexadecimal. */
    public static String of(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Key in the object store of the content with the given digest. */
    public static String objectKey(String digest) {
        return OBJECT_PREFIX + digest;
    }
}
