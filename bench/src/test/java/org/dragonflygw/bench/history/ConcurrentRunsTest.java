package org.dragonflygw.bench.history;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.dragonflygw.bench.history.HistoryEvent.Executed;
import org.dragonflygw.standins.engine.EngineFaults;
import org.dragonflygw.standins.engine.EngineServer;
import org.dragonflygw.standins.plain.Execution;
import org.dragonflygw.standins.plain.PlainFaults;
import org.dragonflygw.standins.platform.PlatformFaults;
import org.junit.jupiter.api.Test;

/**
 * Sends bookings and chats from concurrent callers through two running routers while the platform, the plain service
 * and the engines inject faults at random, and checks the recorded history for violations.
 * {@code -Ddragonflygw.history.requests=N} sets the number of requests of each caller,
 * {@code -Ddragonflygw.history.seed=N} the seed.
 */
final class ConcurrentRunsTest {
    private static final int CALLERS = 6;
    private static final int REQUESTS = Integer.getInteger("dragonflygw.history.requests", 15);
    private static final int SEED = Integer.getInteger("dragonflygw.history.seed", 1);
    private static final int KEYS = REQUESTS * 3;
    private static final long FAULT_INTERVAL_MILLIS = 250;
    private static final long TIMEOUT_SECONDS = 120;
    private static final List<PlatformFaults> PLATFORM_FAULTS = List.of(
            PlatformFaults.NONE,
            PlatformFaults.NONE,
            PlatformFaults.losingAnswers(2),
            PlatformFaults.losingRequests(3),
            PlatformFaults.slow(100),
            PlatformFaults.storeOutage());
    private static final List<PlainFaults> PLAIN_FAULTS = List.of(
            PlainFaults.NONE,
            PlainFaults.losingAnswers(2),
            PlainFaults.droppingBefore(2),
            PlainFaults.delays(50, 50),
            PlainFaults.silent(4));
    private static final List<EngineFaults> ENGINE_FAULTS = List.of(
            EngineFaults.NONE,
            EngineFaults.crossed(5),
            EngineFaults.duplicated(4),
            EngineFaults.silence(3, 4),
            EngineFaults.late(200));

    private final HistoryRecorder recorder = new HistoryRecorder(Clock.systemUTC());

    @Test
    void breakNoPromiseDuringFaults() throws Exception {
        try (RunningFleet fleet = new RunningFleet()) {
            AtomicBoolean finished = new AtomicBoolean();
            ExecutorService pool = Executors.newFixedThreadPool(CALLERS + 1);
            Future<?> faults = pool.submit(() -> injectFaults(fleet, finished));
            List<Future<?>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int number = i;
                callers.add(pool.submit(() -> call(fleet, number)));
            }
            for (Future<?> caller : callers) {
                caller.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
            finished.set(true);
            faults.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            pool.shutdown();
            recordExecutions(fleet);
            assertThat(HistoryChecker.check(recorder.entries(), Long.MAX_VALUE)).isEmpty();
            assertThat(fleet.plain.executions()).isNotEmpty();
        }
    }

    private Void call(RunningFleet fleet, int number) throws Exception {
        SplittableRandom random = new SplittableRandom(SEED * 100L + number);
        RecordingCaller caller = new RecordingCaller(recorder, key -> findExecution(fleet, key));
        for (int i = 0; i < REQUESTS; i++) {
            int port = fleet.routers.get(random.nextInt(fleet.routers.size())).callerPort();
            if (random.nextInt(3) > 0) {
                caller.book(port, "k" + random.nextInt(KEYS));
            } else {
                caller.chat(port, "text " + number + " " + i);
            }
        }
        return null;
    }

    private static Void injectFaults(RunningFleet fleet, AtomicBoolean finished) throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        while (!finished.get()) {
            fleet.platform.setFaults(PLATFORM_FAULTS.get(random.nextInt(PLATFORM_FAULTS.size())));
            fleet.plain.setFaults(PLAIN_FAULTS.get(random.nextInt(PLAIN_FAULTS.size())));
            for (EngineServer engine : fleet.engines) {
                engine.setFaults(ENGINE_FAULTS.get(random.nextInt(ENGINE_FAULTS.size())));
            }
            TimeUnit.MILLISECONDS.sleep(FAULT_INTERVAL_MILLIS);
        }
        return null;
    }

    private static String findExecution(RunningFleet fleet, String key) {
        return fleet.plain.executions().stream()
                .filter(run -> run.idempotencyKey().equals(key))
                .map(Execution::requestId)
                .findFirst()
                .orElse("never run");
    }

    private void recordExecutions(RunningFleet fleet) {
        for (Execution run : fleet.plain.executions()) {
            recorder.record(new Executed(run.requestId(), "clerks/" + run.idempotencyKey(), "plain-1"));
        }
        for (EngineServer engine : fleet.engines) {
            engine.executions().forEach(id -> recorder.record(new Executed(id, "", engine.id())));
        }
    }
}
