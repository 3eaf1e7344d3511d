package org.dragonflygw.core.storenews;

import org.dragonflygw.core.catalog.CatalogChange;

/**
 * A change of the configuration between two versions of its row in the store.
 *
 * @param fromRowVersion version of the row with the earlier configuration
 * @param rowVersion version of the row with the later one
 * @param change what differs
 */
public record CatalogUpdate(long fromRowVersion, long rowVersion, CatalogChange change) {}
