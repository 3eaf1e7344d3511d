package org.dragonflygw.core.storenews;

/** The configuration of this host, to which {@link StoreNewsApplier} applies changes received from other hosts. */
public interface CatalogUpdateTarget {
    /** Row version of the configuration in force; 0 if there is none. */
    long rowVersion();

    /** Puts a change in force whose {@code fromRowVersion} equals {@link #rowVersion}. */
    void apply(CatalogUpdate update);
}
