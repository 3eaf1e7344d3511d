package org.dragonflygw.bench.ledger;

import java.time.InstantSource;
import org.dragonflygw.core.ledger.AnswerStore;
import org.dragonflygw.core.ledger.ClaimOwner;
import org.dragonflygw.core.ledger.LedgerDependencies;
import org.dragonflygw.core.ledger.LedgerLimits;
import org.dragonflygw.core.ledger.OwnerLiveness;
import org.dragonflygw.core.ledger.SubmissionLedger;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.daemon.ledger.CommitWorkers;
import org.dragonflygw.daemon.ledger.LedgerTaskPool;
import org.dragonflygw.platform.PlatformClientSettings;
import org.dragonflygw.platform.PlatformClients;

/** The ledger of one simulated daemon, with its commit threads and its connections to the platform. */
final class LedgerNode {
    private static final String DEPLOYMENT = "peachtree";

    private final PlatformClients clients;
    private final CommitWorkers workers;
    private final LedgerTaskPool tasks = new LedgerTaskPool();
    private final SubmissionLedger ledger;

    LedgerNode(int number, String platformUrl, LedgerPlan plan) {
        InstantSource clock = InstantSource.system();
        clients = new PlatformClients(PlatformClientSettings.of(platformUrl));
        workers = new CommitWorkers(clients.tables(), clock, plan.commits(), plan.intervalMillis());
        ledger = new SubmissionLedger(new LedgerDependencies(
                DEPLOYMENT,
                new ClaimOwner("d" + number, 1),
                workers.committer(),
                clients.tables(),
                new AnswerStore(clients.objects(), DEPLOYMENT),
                tasks,
                clock,
                System::nanoTime,
                OwnerLiveness.ASSUME_LIVE,
                EventRecorder.DISCARD,
                LedgerLimits.DEFAULT));
        workers.start();
    }

    SubmissionLedger ledger() {
        return ledger;
    }

    void stop() throws InterruptedException {
        workers.stop();
        tasks.stop();
        clients.close();
    }
}
