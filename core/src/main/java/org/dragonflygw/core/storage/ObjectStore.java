package org.dragonflygw.core.storage;

/** The platform's object store. Calls block; each throws {@link StorageException}. */
public interface ObjectStore {
    /** Writes an object whole; replaces what was there. */
    void put(String key, byte[] content);

    /** Reads an object; throws with {@link StorageCode#NOT_FOUND} when there is none. */
    byte[] get(String key);
}
