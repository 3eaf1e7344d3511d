package org.dragonflygw.daemon;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.multibindings.OptionalBinder;
import io.dropwizard.lifecycle.Managed;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.storage.HostDirectory;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.TableStore;
import org.dragonflygw.core.storage.WeightStore;
import org.dragonflygw.daemon.endpoint.HostListEndpointSource;
import org.dragonflygw.platform.PlatformClientSettings;
import org.dragonflygw.platform.PlatformClients;
import org.dragonflygw.wire.settings.RouterSettings;

/** Wires the clients of the platform's service. */
public final class PlatformModule extends AbstractModule {
    @Override
    protected void configure() {
        OptionalBinder.newOptionalBinder(binder(), EndpointSource.class)
                .setBinding()
                .to(HostListEndpointSource.class);
        Multibinder.newSetBinder(binder(), Managed.class).addBinding().to(HostListEndpointSource.class);
    }

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
