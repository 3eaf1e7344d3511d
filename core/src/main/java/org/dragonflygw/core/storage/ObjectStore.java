package org.dragonflygw.core.storage;

/** Client of the platform's object store. Calls block and throw {@link StorageException} if they fail. */
public interface ObjectStore {
    /** Writes an object; replaces an existing one. */
    void put(String key, byte[] content);

    /**
     * Reads an object.
     *
     * @throws StorageException if the call fails; its code is {@link StorageCode#NOT_FOUND} if there is no such object
     */
    byte[] get(String key);
}
