package org.dragonflygw.core.storage;

/** Client of the platform's rate-limited store of model weights. */
public interface WeightStore {
    /**
     * Requests a permit to read the weights of a model; the permit says when the read may start.
     *
     * @throws StorageException if the call fails
     */
    WeightPermit requestRead(String model, String version);
}
