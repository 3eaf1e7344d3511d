package org.dragonflygw.daemon.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.daemon.FleetFixture.eventually;

import java.util.List;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointSource;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.core.inspect.EngineView;
import org.dragonflygw.core.inspect.FleetView;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.membership.MemberStatus;
import org.dragonflygw.core.membership.MembershipView;
import org.dragonflygw.daemon.FleetFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests members and endpoints of three routers that exchange gossip. */
class MembershipFleetTest {
    private final FleetFixture fleet = new FleetFixture();

    @BeforeEach
    void startThree() throws Exception {
        fleet.start("r1");
        fleet.start("r2");
        fleet.start("r3");
        assertThat(eventually(() -> alive("r1", "r1", "r2", "r3"))).isTrue();
        assertThat(eventually(() -> alive("r3", "r1", "r2", "r3"))).isTrue();
    }

    @AfterEach
    void stopAll() throws Exception {
        fleet.stopAll();
    }

    private boolean alive(String seenBy, String... ids) {
        List<Member> members = fleet.router(seenBy)
                .injector()
                .getInstance(MembershipView.class)
                .members();
        return members.stream()
                .filter(member -> member.status() == MemberStatus.ALIVE && member.incarnation() > 0)
                .map(Member::daemonId)
                .toList()
                .equals(List.of(ids));
    }

    @Nested
    class Members {
        @Test
        void killedDaemonIsReplacedByItsSuccessor() throws Exception {
            fleet.kill("r2");
            fleet.start("r4");
            assertThat(eventually(() -> alive("r1", "r1", "r3", "r4"))).isTrue();
        }

        @Test
        void restartedDaemonIsSeenAliveOnAnotherPort() throws Exception {
            fleet.kill("r2");
            fleet.start("r2");
            assertThat(eventually(() -> alive("r1", "r1", "r2", "r3"))).isTrue();
            assertThat(eventually(() -> alive("r2", "r1", "r2", "r3"))).isTrue();
        }

        @Test
        void fleetResourceListsAllMembers() throws Exception {
            String body = fleet.get("r1", "/v1/fleet").body();
            FleetView view = FleetFixture.JSON.readValue(body, FleetView.class);
            assertThat(view.members()).hasSize(3);
            assertThat(view.members().get(1).status()).isEqualTo("alive");
        }
    }

    @Nested
    class Endpoints {
        @Test
        void engineInTheHostListBecomesAnEndpoint() throws Exception {
            fleet.platform()
                    .register(new HostEntry(
                            "e1", HostRole.ENGINE, "127.0.0.1", 9000, "a", "us-southeast", "large", HostState.LIVE));
            EndpointSource source = fleet.router("r2").injector().getInstance(EndpointSource.class);
            assertThat(eventually(() -> source.endpoints("large").stream()
                            .map(Endpoint::id)
                            .toList()
                            .equals(List.of("e1"))))
                    .isTrue();
            String body = fleet.get("r2", "/v1/engines").body();
            EngineView[] engines = FleetFixture.JSON.readValue(body, EngineView[].class);
            assertThat(engines[0].state()).isEqualTo("live");
            assertThat(engines[0].steward()).isAnyOf("r1", "r2", "r3");
        }
    }
}
