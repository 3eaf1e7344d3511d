package org.dragonflygw.daemon.config;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.multibindings.OptionalBinder;
import io.dropwizard.lifecycle.Managed;
import java.time.Clock;
import org.dragonflygw.core.config.ActiveSheetHolder;
import org.dragonflygw.core.config.ConfigPublisher;
import org.dragonflygw.core.config.ConfigStore;
import org.dragonflygw.core.config.SheetReader;
import org.dragonflygw.core.config.SheetReadiness;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.TableStore;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.daemon.membership.GossipNode;
import org.dragonflygw.daemon.operator.OperatorResources;
import org.dragonflygw.daemon.operator.ReadinessCheck;
import org.dragonflygw.wire.settings.RouterSettings;

/** Binds the configuration: the active sheet, its updates, and the operator resource for sheets. */
public final class ConfigModule extends AbstractModule {
    @Override
    protected void configure() {
        OptionalBinder.newOptionalBinder(binder(), SheetSource.class)
                .setBinding()
                .to(ActiveSheetHolder.class);
        Multibinder.newSetBinder(binder(), Managed.class).addBinding().to(SheetUpdater.class);
        Multibinder.newSetBinder(binder(), ReadinessCheck.class).addBinding().to(SheetSourcesCheck.class);
        OperatorResources.add(binder(), SheetResource.class);
    }

    @Provides
    @Singleton
    SheetReader reader() {
        return new SheetReader();
    }

    @Provides
    @Singleton
    ActiveSheetHolder sheets(SheetReader reader, EventRecorder events) {
        return new ActiveSheetHolder(reader, events);
    }

    @Provides
    @Singleton
    SheetReadiness readiness(ActiveSheetHolder sheets, GossipNode gossip) {
        return new SheetReadiness(sheets, () -> gossip.members().size() - 1);
    }

    @Provides
    @Singleton
    ConfigStore store(TableStore tables, ObjectStore objects, RouterSettings settings) {
        return new ConfigStore(tables, objects, settings.getDeployment());
    }

    @Provides
    @Singleton
    ConfigPublisher publisher(ConfigStore store, SheetReader reader, Clock clock, EventRecorder events) {
        return new ConfigPublisher(store, reader, clock, events);
    }
}
