package org.dragonflygw.daemon;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.dragonflygw.core.storage.HostDirectory;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.TableStore;
import org.dragonflygw.core.storage.WeightStore;
import org.dragonflygw.platform.PlatformClientSettings;
import org.dragonflygw.platform.PlatformClients;
import org.dragonflygw.wire.settings.RouterSettings;

/** Binds the clients of the platform: tables, objects, model weights and the host list. */
public final class PlatformModule extends AbstractModule {
    @Provides
    @Singleton
    PlatformClients clients(RouterSettings settings) {
        return new PlatformClients(PlatformClientSettings.of(settings.getPlatformUrl()));
    }

    @Provides
    TableStore tables(PlatformClients clients) {
        return clients.tables();
    }

    @Provides
    ObjectStore objects(PlatformClients clients) {
        return clients.objects();
    }

    @Provides
    WeightStore weights(PlatformClients clients) {
        return clients.weights();
    }

    @Provides
    HostDirectory hosts(PlatformClients clients) {
        return clients.hosts();
    }
}
