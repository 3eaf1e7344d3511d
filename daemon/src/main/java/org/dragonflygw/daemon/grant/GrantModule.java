package org.dragonflygw.daemon.grant;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.multibindings.OptionalBinder;
import io.dropwizard.lifecycle.Managed;
import java.time.Clock;
import org.dragonflygw.core.limits.TeamRateLimiter;
import org.dragonflygw.core.limits.TeamRateSteward;
import org.dragonflygw.core.retry.BudgetedRetryPolicy;
import org.dragonflygw.core.retry.RetryBudgets;
import org.dragonflygw.core.retry.RetryPolicy;
import org.dragonflygw.core.routing.EndpointLoadSink;
import org.dragonflygw.core.routing.EndpointLoadSource;
import org.dragonflygw.core.routing.EndpointSelector;
import org.dragonflygw.daemon.peer.GrantHandler;

/**
 * Binds the endpoint selector of the request path, the stewards of engines, team rates, retry budgets and the handling of
 * suspected requests. Requires the {@link org.dragonflygw.core.membership.MembershipView} and
 * {@link org.dragonflygw.core.retry.Quarantine} that the membership module binds.
 */
public final class GrantModule extends AbstractModule {
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_TEAMS = 4_096;

    @Override
    protected void configure() {
        OptionalBinder.newOptionalBinder(binder(), EndpointSelector.class)
                .setBinding()
                .to(StewardSelector.class);
        OptionalBinder.newOptionalBinder(binder(), GrantHandler.class)
                .setBinding()
                .to(PeerGrantHandler.class);
        OptionalBinder.newOptionalBinder(binder(), RetryPolicy.class)
                .setBinding()
                .to(BudgetedRetryPolicy.class);
        OptionalBinder.newOptionalBinder(binder(), EndpointLoadSource.class)
                .setBinding()
                .to(StewardTable.class);
        Multibinder.newSetBinder(binder(), EndpointLoadSink.class).addBinding().to(PoolStates.class);
        Multibinder<Managed> managed = Multibinder.newSetBinder(binder(), Managed.class);
        managed.addBinding().to(GrantMaintenance.class);
        managed.addBinding().to(EnginePoller.class);
    }

    @Provides
    @Singleton
    RetryBudgets retryBudgets(Clock clock) {
        return new RetryBudgets(clock);
    }

    @Provides
    @Singleton
    BudgetedRetryPolicy retryPolicy(RetryBudgets budgets) {
        return new BudgetedRetryPolicy(MAX_ATTEMPTS, budgets);
    }

    @Provides
    @Singleton
    TeamRateSteward teamRates(Clock clock) {
        return new TeamRateSteward(MAX_TEAMS, clock);
    }

    @Provides
    @Singleton
    TeamRateLimiter rateLimiter(OwnerClient owners, OwnershipView view, Clock clock) {
        return new TeamRateLimiter(owners, view::daemonCount, clock);
    }
}
