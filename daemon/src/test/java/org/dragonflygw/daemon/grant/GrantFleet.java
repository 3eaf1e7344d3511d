package org.dragonflygw.daemon.grant;

import com.google.inject.AbstractModule;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.membership.Member;
import org.dragonflygw.core.membership.MemberStatus;
import org.dragonflygw.core.membership.MembershipView;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.daemon.RouterFixture;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineServer;

/** Routers and engines in one process. Each router has a member list that the test sets. */
final class GrantFleet implements AutoCloseable {
    private static final int WAIT_MILLIS = 20_000;

    final List<RouterFixture> routers = new ArrayList<>();
    final List<EngineServer> engines = new ArrayList<>();
    private final List<FixedMembershipView> views = new ArrayList<>();

    GrantFleet(int routerCount, int engineCount) {
        for (int i = 0; i < engineCount; i++) {
            engines.add(new EngineServer(
                    EngineConfig.builder("engine-" + i).tokenGapMicros(1_000, 0).build()));
        }
        for (int i = 0; i < routerCount; i++) {
            FixedMembershipView view = new FixedMembershipView("router-" + i);
            views.add(view);
            routers.add(new RouterFixture(
                    RouterFixture.settings().setDaemonId(view.id), new GrantModule(), new FleetModule(view)));
        }
        Endpoint[] endpoints = engines.stream()
                .map(engine -> RouterFixture.endpoint(engine.id(), RouterFixture.MODEL, engine.port()))
                .toArray(Endpoint[]::new);
        routers.forEach(router -> router.useEndpoints(endpoints));
        showAllMembers();
    }

    /** Sets the member list of every router to all routers, and waits until every engine has a steward. */
    void showAllMembers() {
        List<Member> members = members();
        views.forEach(view -> view.members = members);
        awaitStewards();
    }

    /** Sets the member list of one router. */
    void setView(int router, List<Member> members) {
        views.get(router).members = members;
    }

    List<Member> members() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < routers.size(); i++) {
            members.add(member(views.get(i).id, routers.get(i).application().peerPort()));
        }
        return members;
    }

    static Member member(String id, int peerPort) {
        return new Member(id, "127.0.0.1", peerPort, 0, "a", "us-southeast", 1, MemberStatus.ALIVE);
    }

    StewardTable stewards(int router) {
        return routers.get(router).application().injector().getInstance(StewardTable.class);
    }

    Quarantine quarantine(int router) {
        return routers.get(router).application().injector().getInstance(Quarantine.class);
    }

    /** Returns the number of grants over all stewards. */
    int grants() {
        int grants = 0;
        for (int i = 0; i < routers.size(); i++) {
            for (StewardedEngine each : stewards(i).all()) {
                grants += each.steward().openGrants();
            }
        }
        return grants;
    }

    HttpResponse<String> chat(int router, String text, int tokens) throws Exception {
        return routers.get(router).send(routers.get(router).chat(text, true, tokens));
    }

    CompletableFuture<HttpResponse<String>> start(int router, String text, int tokens) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return chat(router, text, tokens);
            } catch (Exception e) {
                throw new IllegalStateException("chat through router " + router, e);
            }
        });
    }

    static List<HttpResponse<String>> join(List<CompletableFuture<HttpResponse<String>>> calls)
            throws ExecutionException, InterruptedException {
        List<HttpResponse<String>> responses = new ArrayList<>();
        for (CompletableFuture<HttpResponse<String>> call : calls) {
            responses.add(call.get());
        }
        return responses;
    }

    static boolean await(BooleanSupplier condition) {
        for (int waited = 0; waited < WAIT_MILLIS && !condition.getAsBoolean(); waited += 10) {
            sleep(10);
        }
        return condition.getAsBoolean();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitStewards() {
        boolean complete = await(() -> {
            int count = 0;
            for (int i = 0; i < routers.size(); i++) {
                count += stewards(i).all().size();
            }
            return count == engines.size();
        });
        if (!complete) {
            throw new IllegalStateException("engines without a steward");
        }
    }

    @Override
    public void close() {
        routers.forEach(RouterFixture::close);
        engines.forEach(EngineServer::close);
    }

    private static final class FixedMembershipView implements MembershipView {
        private final String id;
        private volatile List<Member> members = List.of();

        private FixedMembershipView(String id) {
            this.id = id;
        }

        @Override
        public Member self() {
            return members.stream()
                    .filter(member -> member.daemonId().equals(id))
                    .findFirst()
                    .orElseGet(() -> member(id, 1));
        }

        @Override
        public List<Member> members() {
            return members;
        }
    }

    private static final class FleetModule extends AbstractModule {
        private final FixedMembershipView view;

        private FleetModule(FixedMembershipView view) {
            this.view = view;
        }

        @Override
        protected void configure() {
            bind(MembershipView.class).toInstance(view);
            bind(Quarantine.class).toInstance(new Quarantine(1_000, Clock.systemUTC()));
        }
    }
}
