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

/** Cuts one router off from the table service for good, as its end would. */
final class UnreachableStoreModule extends AbstractModule {
    private final BooleanSupplier cut;

    UnreachableStoreModule(BooleanSupplier cut) {
        this.cut = cut;
    }

    @Provides
    TableStore tables(PlatformClients clients) {
        TableStore store = clients.tables();
        return new TableStore() {
            @Override
            public Optional<TableRow> read(String table, String key) {
                check();
                return store.read(table, key);
            }

            @Override
            public List<TableRow> scan(String table, String prefix, String afterKey, int limit) {
                check();
                return store.scan(table, prefix, afterKey, limit);
            }

            @Override
            public CommitResult commit(List<Mutation> mutations) {
                check();
                return store.commit(mutations);
            }
        };
    }

    private void check() {
        if (cut.getAsBoolean()) {
            throw new StorageException(StorageCode.UNAVAILABLE, "cut off");
        }
    }
}
