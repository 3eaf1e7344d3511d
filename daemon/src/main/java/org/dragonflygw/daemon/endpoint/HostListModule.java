package org.dragonflygw.daemon.endpoint;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.multibindings.OptionalBinder;
import io.dropwizard.lifecycle.Managed;
import org.dragonflygw.core.fleet.EndpointSource;

/** Takes the endpoints from the platform's host list alone. */
public final class HostListModule extends AbstractModule {
    @Override
    protected void configure() {
        OptionalBinder.newOptionalBinder(binder(), EndpointSource.class)
                .setBinding()
                .to(HostListEndpointSource.class);
        Multibinder.newSetBinder(binder(), Managed.class).addBinding().to(HostListEndpointSource.class);
    }
}
