package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.core.exchange.ExchangeFixture.route;

import java.util.List;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.peers.EndpointUse;
import org.dragonflygw.core.peers.HostReportFactory;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against an endpoint that gets more and more requests while it works on those whose callers have left. */
final class AbandonedRequestTest {
    private static final CatalogRoute PLAIN = route(RouteKind.IDEMPOTENT, false);

    private final ExchangeFixture f = new ExchangeFixture();

    private String startAndLeave() {
        StartedExchange x = f.start(PLAIN);
        x.onCallerDisconnected();
        return f.sent.get(f.sent.size() - 1).endpoint().id();
    }

    private List<EndpointUse> reported() {
        return new HostReportFactory("h", new HostAddress("h", 1), 1, f.loads, f.crashes, f.crashingParts, f.clock)
                .next(1, StoreNews.NONE)
                .uses();
    }

    @Nested
    final class AfterTheCallerLeft {
        @Test
        void theRequestStillCountsAtItsEndpoint() {
            assertThat(startAndLeave()).isNotEqualTo(startAndLeave());
        }

        @Test
        void theOtherHostsAreTold() {
            String endpoint = startAndLeave();
            assertThat(reported()).containsExactly(new EndpointUse(endpoint, 1, 0, 0));
        }

        @Test
        void theRequestIsForgottenAfterTheUsualTime() {
            startAndLeave();
            f.clock.advanceMs(1_100);
            assertThat(reported()).isEmpty();
        }
    }

    @Nested
    final class AfterACompleteResponse {
        @Test
        void nothingCounts() {
            StartedExchange x = f.start(PLAIN);
            x.onHead(ExchangeFixture.signedHead(200));
            x.onBody(new byte[] {1});
            x.onComplete();
            assertThat(reported()).isEmpty();
        }
    }
}
