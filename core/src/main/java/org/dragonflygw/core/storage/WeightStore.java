package org.dragonflygw.core.storage;

/** The platform's rate-limited store of model weights. */
public interface WeightStore {
    /** Asks for a permit to read weights; the answer says when the read may start. Throws {@link StorageException}. */
    WeightPermit requestRead(String model, String version);
}
