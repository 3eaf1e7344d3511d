package org.dragonflygw.daemon.ledger;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.StorageCode;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.storage.TableStore;
import org.dragonflygw.platform.PlatformClients;

/**
 * Makes the table store unreachable for one router once a condition holds, like the end of the router from the view of
 * the others.
 */
final class UnreachableStoreModule extends AbstractModule {
    private final BooleanSupplier unreachable;

    UnreachableStoreModule(BooleanSupplier unreachable) {
        this.unreachable = unreachable;
    }

    @Provides
    TableStore tables(PlatformClients clients) {
        TableStore store = clients.tables();
        return new TableStore() {
            @Override
            public Optional<TableRow> read(String table, String key) {
                checkReachable();
                return store.read(table, key);
            }

            @Override
            public List<TableRow> scan(String table, String prefix, String afterKey, int limit) {
                checkReachable();
                return store.scan(table, prefix, afterKey, limit);
            }

            @Override
            public CommitResult commit(List<Mutation> mutations) {
                checkReachable();
                return store.commit(mutations);
            }
        };
    }

    private void checkReachable() {
        if (unreachable.getAsBoolean()) {
            throw new StorageException(StorageCode.UNAVAILABLE, "the table store is unreachable");
        }
    }
}
