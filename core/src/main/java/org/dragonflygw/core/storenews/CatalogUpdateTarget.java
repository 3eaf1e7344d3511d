package org.dragonflygw.core.storenews;

/** The configuration of this host, to which {@link StoreNewsApplier} applies changes received from other hosts. */
public interface CatalogUpdateTarget {
    /** Row version of the configuration in force; 0 if there is none. */
    long rowVersion();

    /**
     * Records the version of the configuration that another host has in force beside the same row, or by a row that the
     * store may have lost.
     *
     * @return whether this host has the newest configuration that it knows of in force, so that its keys can be confirmed
     */
    boolean onVersionInForce(long configVersion);

    /** Puts a change in force whose {@code fromRowVersion} equals {@link #rowVersion}. */
    void apply(CatalogUpdate update);
}
