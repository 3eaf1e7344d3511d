package org.dragonflygw.core.storenews;

import org.dragonflygw.core.catalog.CatalogChange;

/**
 * Change of the configuration between two versions of its row in the store.
 *
 * @param fromRowVersion row version of the configuration before the change
 * @param rowVersion row version of the configuration after the change
 * @param change differences between the two configurations
 */
public record CatalogUpdate(long fromRowVersion, long rowVersion, CatalogChange change) {}
