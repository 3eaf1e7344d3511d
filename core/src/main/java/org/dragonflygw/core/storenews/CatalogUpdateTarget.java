package org.dragonflygw.core.storenews;

/** The configuration of this host, as far as news from other hosts concern it. */
public interface CatalogUpdateTarget {
    /** Version of the row that holds the configuration in force, 0 if there is none. */
    long rowVersion();

    /** Brings a change into force that joins on to the configuration in force. */
    void apply(CatalogUpdate update);
}
