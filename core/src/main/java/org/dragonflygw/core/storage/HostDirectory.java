package org.dragonflygw.core.storage;

/** Client of the platform's list of live and leaving hosts. The list may be out of date by seconds. */
public interface HostDirectory {
    /**
     * Reads the whole list. Blocks.
     *
     * @throws StorageException if the call fails
     */
    HostListing list();
}
