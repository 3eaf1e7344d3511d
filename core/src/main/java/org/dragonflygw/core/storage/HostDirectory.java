package org.dragonflygw.core.storage;

/** The platform's list of live and leaving hosts. It lags behind the truth by seconds. */
public interface HostDirectory {
    /** Reads the whole list; throws {@link StorageException}. */
    HostListing list();
}
