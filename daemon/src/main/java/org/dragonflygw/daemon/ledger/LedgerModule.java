package org.dragonflygw.daemon.ledger;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.multibindings.OptionalBinder;
import io.dropwizard.lifecycle.Managed;
import java.time.Clock;
import java.time.Duration;
import java.util.UUID;
import org.dragonflygw.core.ledger.AnswerStore;
import org.dragonflygw.core.ledger.ClaimOwner;
import org.dragonflygw.core.ledger.CommitLimits;
import org.dragonflygw.core.ledger.GroupCommitter;
import org.dragonflygw.core.ledger.LedgerDependencies;
import org.dragonflygw.core.ledger.LedgerLimits;
import org.dragonflygw.core.ledger.OwnerLiveness;
import org.dragonflygw.core.ledger.RetentionSweeper;
import org.dragonflygw.core.ledger.SubmissionGate;
import org.dragonflygw.core.ledger.SubmissionKeys;
import org.dragonflygw.core.ledger.SubmissionLedger;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.TableStore;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.wire.settings.RouterSettings;

/** Guice module of the ledger of non-idempotent submissions. */
public final class LedgerModule extends AbstractModule {
    /** How long the outcome of a submission is kept. */
    public static final Duration RETENTION = Duration.ofDays(3);

    private static final long FLUSH_INTERVAL_MILLIS = 25;

    @Override
    protected void configure() {
        OptionalBinder.newOptionalBinder(binder(), OwnerLiveness.class)
                .setDefault()
                .toInstance(OwnerLiveness.ASSUME_LIVE);
        OptionalBinder.newOptionalBinder(binder(), SubmissionGate.class)
                .setBinding()
                .to(MeteredGate.class);
        bind(LedgerTaskPool.class).in(Singleton.class);
        Multibinder<Managed> managed = Multibinder.newSetBinder(binder(), Managed.class);
        managed.addBinding().to(LedgerTaskPool.class);
        managed.addBinding().to(CommitWorkers.class);
        managed.addBinding().to(SweepWorker.class);
    }

    @Provides
    @Singleton
    CommitWorkers workers(TableStore store, Clock clock, MetricRegistry metrics) {
        CommitWorkers workers = new CommitWorkers(store, clock, CommitLimits.DEFAULT, FLUSH_INTERVAL_MILLIS);
        GroupCommitter committer = workers.committer();
        metrics.registerGauge("dragonflygw.ledger.queued.rows", (Gauge<Integer>) committer::queued);
        metrics.registerGauge("dragonflygw.ledger.commits.count", (Gauge<Long>) committer::sentTransactions);
        metrics.registerGauge("dragonflygw.ledger.committed.rows", (Gauge<Long>) committer::sentRows);
        return workers;
    }

    @Provides
    @Singleton
    LedgerDependencies dependencies(
            RouterSettings settings,
            CommitWorkers workers,
            TableStore store,
            ObjectStore objects,
            LedgerTaskPool tasks,
            Clock clock,
            OwnerLiveness liveness,
            EventRecorder events) {
        long incarnation = UUID.randomUUID().getMostSignificantBits();
        return new LedgerDependencies(
                settings.getDeployment(),
                new ClaimOwner(settings.getDaemonId(), incarnation),
                workers.committer(),
                store,
                new AnswerStore(objects, settings.getDeployment()),
                tasks,
                clock,
                System::nanoTime,
                liveness,
                events,
                LedgerLimits.DEFAULT);
    }

    @Provides
    @Singleton
    MeteredGate gate(LedgerDependencies dependencies, MetricRegistry metrics) {
        SubmissionLedger ledger = new SubmissionLedger(dependencies);
        metrics.registerGauge("dragonflygw.ledger.open.claims", (Gauge<Integer>) ledger::openClaims);
        return new MeteredGate(ledger, metrics);
    }

    @Provides
    @Singleton
    SweepWorker sweeper(
            RouterSettings settings, TableStore store, ObjectStore objects, Clock clock, MetricRegistry metrics) {
        int firstBucket = Math.floorMod(settings.getDaemonId().hashCode(), SubmissionKeys.BUCKETS);
        RetentionSweeper sweeper = new RetentionSweeper(
                store, objects, clock, settings.getDeployment(), RETENTION.toMillis(), firstBucket);
        return new SweepWorker(sweeper, metrics.counter("dragonflygw.ledger.swept.rows"));
    }
}
